package org.verbenadyke.node.log;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.routing.Endpoint;

import io.servicetalk.transport.netty.internal.EventLoopAwareNettyIoExecutor;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a log service in trouble whose bytes fill the memory or are taken for an answer. */
final class HttpLogServiceTest {
    private static final int TIMEOUT_SECONDS = 20;
    private static final long WAIT_MILLIS = 60_000;

    /** The client finds the service's address on its own, and fails its calls until then. */
    private static final String UNRESOLVED = "No hosts are available";

    private static final String CHUNK = "1000\r\n" + "x".repeat(4_096) + "\r\n";

    /** The longest answer, and what the buffers of both sockets hold. */
    private static final long MAX_SENT_BYTES = 48L * 1024 * 1024;

    private final EventLoopAwareNettyIoExecutor io = NettyIoExecutors.createIoExecutor(1, "io");
    private final ServerSocket server = listen();
    private final AtomicLong sentBytes = new AtomicLong();

    @AfterEach
    void stop() throws IOException {
        server.close();
        io.closeAsync().subscribe();
    }

    @Test
    void readsRecords() throws Exception {
        String body = "{\"first\":0,\"next\":1,\"records\":[{\"offset\":0,\"data\":\"YQ==\"}]}";
        LogService.ReadResult result =
                read("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body, "");
        assertEquals(
                1,
                assertInstanceOf(LogService.ReadResult.Records.class, result, result::toString)
                        .records()
                        .size());
    }

    @Test
    void anAnswerWithoutEndFails() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        assertInstanceOf(LogService.ReadResult.Failed.class, read(head, CHUNK.repeat(16)));
        assertTrue(sentBytes.get() < MAX_SENT_BYTES, sentBytes + " bytes");
    }

    @Test
    void aBrokenAnswerToAnAppendTellsNothing() throws Exception {
        LogService.AppendResult result = append(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + "c\r\n{\"offset\":1}\r\n0\r\n\r\n");
        assertInstanceOf(LogService.AppendResult.Unknown.class, result);
    }

    private LogService.ReadResult read(String prefix, String repeated) throws Exception {
        serve(prefix, repeated);
        try (HttpLogService log = log()) {
            LogService.ReadResult result;
            do {
                CompletableFuture<LogService.ReadResult> next = new CompletableFuture<>();
                log.read("s", 0, WAIT_MILLIS, next::complete);
                result = next.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } while (result.toString().contains(UNRESOLVED));
            return result;
        }
    }

    private LogService.AppendResult append(String answer) throws Exception {
        serve(answer, "");
        try (HttpLogService log = log()) {
            LogService.AppendResult result;
            do {
                CompletableFuture<LogService.AppendResult> next = new CompletableFuture<>();
                log.append("s", "k", new byte[1], next::complete);
                result = next.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } while (result.toString().contains(UNRESOLVED));
            return result;
        }
    }

    private HttpLogService log() {
        return HttpLogService.at(new Endpoint("127.0.0.1", server.getLocalPort()), io);
    }

    private void serve(String prefix, String repeated) {
        Thread.startVirtualThread(() -> {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write(prefix.getBytes(StandardCharsets.US_ASCII));
                while (!repeated.isEmpty()) {
                    socket.getOutputStream().write(repeated.getBytes(StandardCharsets.US_ASCII));
                    sentBytes.addAndGet(repeated.length());
                }
                socket.getInputStream().readAllBytes();
            } catch (IOException e) {
                // The client has closed the connection.
            }
        });
    }

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
