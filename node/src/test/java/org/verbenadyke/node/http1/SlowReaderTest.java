package org.verbenadyke.node.http1;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.node.transport.EventLoops;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against the loss of an answer that waits in the node for a slow reader. */
final class SlowReaderTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long IDLE_NANOS = 15 * SECOND;
    private static final int TIMEOUT_MILLIS = 20_000;

    /** More than the buffers of both sockets hold. */
    private static final int BODY_BYTES = 32 * 1024 * 1024;

    private static final int QUARTERS = 4;

    private final EventLoops loops = EventLoops.nio(1);
    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Endpoint endpoint = freeEndpoint();
    private final HttpServer server = HttpServer.listen(
            endpoint,
            loops,
            clock,
            () -> new ServerLimits(8_192, 8_192, IDLE_NANOS),
            exchange -> exchange.answer(200, List.of(), new byte[BODY_BYTES]));

    @AfterEach
    void stop() {
        server.close();
        loops.group().shutdownGracefully();
    }

    @Test
    void aShutdownLeavesAnAnswerToItsSlowReader() throws Exception {
        try (Socket caller = request()) {
            server.shutdownGracefully();
            sweep(3 * SECOND);
            assertEquals(BODY_BYTES, caller.getInputStream().readNBytes(BODY_BYTES).length);
        }
    }

    @Test
    void anIdleTimeoutLeavesAnAnswerToAReaderThatReadsOn() throws Exception {
        try (Socket caller = request()) {
            sweep(IDLE_NANOS + SECOND);
            assertEquals(BODY_BYTES / 2, caller.getInputStream().readNBytes(BODY_BYTES / 2).length);
            sweep(IDLE_NANOS + SECOND);
            assertEquals(BODY_BYTES / 2, caller.getInputStream().readNBytes(BODY_BYTES / 2).length);
        }
    }

    /** The answer is one message to the channel, which counts it as waiting until all of it is written. */
    @Test
    void severalIdleTimeoutsLeaveAnAnswerToAReaderThatReadsOn() throws Exception {
        try (Socket caller = request()) {
            for (int i = 0; i < QUARTERS; i++) {
                sweep(IDLE_NANOS + SECOND);
                assertEquals(BODY_BYTES / QUARTERS, caller.getInputStream().readNBytes(BODY_BYTES / QUARTERS).length);
            }
        }
    }

    @Test
    void aCallerThatReadsNothingIsDisconnected() throws Exception {
        try (Socket caller = request()) {
            sweep(IDLE_NANOS + 2 * SECOND);
            sweep(IDLE_NANOS + 2 * SECOND);
            assertEquals(0, server.connections());
        }
    }

    /** Sends a request and waits for the first byte of its answer. */
    private Socket request() throws IOException {
        Socket caller = new Socket();
        caller.setReceiveBufferSize(8_192);
        caller.setSoTimeout(TIMEOUT_MILLIS);
        caller.connect(new InetSocketAddress(endpoint.host(), endpoint.port()));
        caller.getOutputStream().write("GET / HTTP/1.1\r\nhost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        caller.getInputStream().read();
        return caller;
    }

    /** Lets the time pass, and waits for what the event loop does about it. */
    private void sweep(long nanos) throws Exception {
        for (long passed = 0; passed < nanos; passed += SECOND) {
            clock.advance(SECOND);
            loops.group().submit(() -> {}).get();
        }
    }

    private static Endpoint freeEndpoint() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new Endpoint("127.0.0.1", socket.getLocalPort());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
