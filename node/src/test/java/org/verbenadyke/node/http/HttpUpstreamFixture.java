package org.verbenadyke.node.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.verbenadyke.kernel.routing.Endpoint;

import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;

/** The port to an upstream whose bytes the test sends itself. */
abstract class HttpUpstreamFixture {
    static final int TIMEOUT_MILLIS = 20_000;

    private final EventLoopAwareNettyIoExecutor io = NettyIoExecutors.createIoExecutor(1, "io");
    private ServerSocket server;

    @BeforeEach
    final void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MILLIS);
    }

    @AfterEach
    final void stop() throws IOException {
        server.close();
        io.closeAsync().subscribe();
    }

    final HttpUpstream upstream() {
        return HttpUpstream.to(new Endpoint("127.0.0.1", server.getLocalPort()), io, () -> {});
    }

    final Socket accept() throws IOException {
        return server.accept();
    }
}
