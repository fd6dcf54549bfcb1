package org.verbenadyke.node.http1;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link HttpPool} against a server that sends bytes without end. */
final class UnendingAnswerTest {
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "1\r\nx\r\n";
    private static final int CHUNKS = 60_000;

    /** A few times what a message costs besides its bytes would be; a read brings several hundred such chunks. */
    private static final int MIN_BYTES_PER_PART = 100;

    private static final int TIMEOUT_MILLIS = 20_000;
    private static final int REPEATS_PER_WRITE = 1_000;

    /** More than the buffers of both sockets hold. */
    private static final long PASSED_BYTES = 64L * 1024 * 1024;

    /** Until the server has the request and begins to answer. */
    private final CountDownLatch answering = new CountDownLatch(1);

    private final EventLoops loops = EventLoops.nio(1);
    private final ServerSocket server = listen();
    private final HttpPool pool = HttpPool.to(
            new Endpoint("127.0.0.1", server.getLocalPort()),
            loops,
            EventLoopTimerService.on(loops.group().next()),
            PoolSettings.standard());

    @AfterEach
    void stop() throws IOException {
        server.close();
        loops.group().shutdownGracefully();
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", "x: y\r\n", "HTTP/1.1 200 OK\r\nContent-Length: z\r\n\r\n"})
    void endsTheCallAndTheConnectionWhenAHeadHasNoEnd(String bytes) throws Exception {
        RecordedAnswer listener = RecordedAnswer.ofCall();
        CompletableFuture<Long> written = serve("", bytes);
        pool.send(request(), listener);
        assertTrue(List.of("broken", "closed").contains(listener.outcome()));
        assertTrue(written.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) < PASSED_BYTES);
    }

    @Test
    void endsTheConnectionWhenBytesFollowAnAnswerWithoutEnd() throws Exception {
        RecordedAnswer listener = RecordedAnswer.ofCall();
        CompletableFuture<Long> written = serve(ANSWER, "x");
        pool.send(request(), listener);
        assertEquals("end", listener.outcome());
        assertTrue(written.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) < PASSED_BYTES);
    }

    /** The caller's deadline bounds the time; nothing of such bytes is kept. */
    @Test
    void endsTheConnectionWhenTheCallerGivesUpOnAnotherAnswerWithoutEnd() throws Exception {
        CompletableFuture<Long> written = serve(CHUNKED_HEAD, CHUNK);
        assertEndsWhenCancelled(written);
    }

    @Test
    void endsTheConnectionWhenTheCallerGivesUpOnInterimAnswersWithoutEnd() throws Exception {
        CompletableFuture<Long> written = serve("", "HTTP/1.1 100 Continue\r\n\r\n");
        assertEndsWhenCancelled(written);
    }

    /** Nobody may be there any more who gives up. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 P\r\nX-A: b\r\n\r\n"})
    void endsTheCallWhenInterimAnswersHaveNoEnd(String interim) throws Exception {
        RecordedAnswer listener = RecordedAnswer.ofCall();
        CompletableFuture<Long> written = serve("", interim);
        pool.send(request(), listener);
        assertEquals("broken", listener.outcome());
        assertTrue(written.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) < PASSED_BYTES);
    }

    @Test
    void endsTheCallWhenTheAnswerToAnotherRequestHasNoEnd() throws Exception {
        RecordedAnswer listener = RecordedAnswer.matchingNone();
        CompletableFuture<Long> written = serve(CHUNKED_HEAD, CHUNK);
        pool.send(request(), listener);
        assertEquals("broken", listener.outcome());
        assertTrue(written.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) < PASSED_BYTES);
    }

    private void assertEndsWhenCancelled(CompletableFuture<Long> written) throws Exception {
        HttpCall call = pool.send(request(), RecordedAnswer.matchingNone());
        assertTrue(answering.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        call.cancel();
        assertTrue(written.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) > 0);
    }

    /** An answer that is throttled isn't read beyond what was requested. */
    @Test
    void readsNoMoreOfAThrottledAnswerThanIsRequested() throws Exception {
        RecordedAnswer listener = RecordedAnswer.ofCall();
        CompletableFuture<Long> written = serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n");
        HttpCall call = pool.send(request(), listener);
        call.throttle();
        assertTrue(answering.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        Thread.sleep(500);
        call.cancel();
        assertTrue(written.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) < PASSED_BYTES);
    }

    /** A part for each byte would cost a message, a frame and a buffer for each. */
    @Test
    void passesChunksOfOneByteOnInPartsOfManyBytes() throws Exception {
        RecordedAnswer listener = RecordedAnswer.ofCall();
        serveOnce(CHUNKED_HEAD + CHUNK.repeat(CHUNKS) + "0\r\n\r\n");
        pool.send(request(), listener);
        assertEquals("end", listener.outcome());
        assertEquals(CHUNKS, listener.bytes());
        assertTrue(listener.parts() <= CHUNKS / MIN_BYTES_PER_PART, listener.parts() + " parts");
    }

    private void serveOnce(String answer) {
        Thread.startVirtualThread(() -> {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                // A close with unread bytes would reset the connection.
                socket.getInputStream().readAllBytes();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** Answers one request with a prefix and then repeats some bytes; completes with the bytes that were accepted. */
    private CompletableFuture<Long> serve(String prefix, String repeated) {
        CompletableFuture<Long> written = new CompletableFuture<>();
        byte[] block = repeated.repeat(REPEATS_PER_WRITE).getBytes(StandardCharsets.US_ASCII);
        Thread.startVirtualThread(() -> {
            long total = 0;
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                OutputStream out = socket.getOutputStream();
                out.write(prefix.getBytes(StandardCharsets.US_ASCII));
                while (true) {
                    out.write(block);
                    answering.countDown();
                    total += block.length;
                }
            } catch (IOException e) {
                written.complete(total);
            }
        });
        return written;
    }

    private static HttpRequestMessage request() {
        return new HttpRequestMessage("GET", "/", List.of(new HeaderField("host", "h")), new byte[0]);
    }

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
