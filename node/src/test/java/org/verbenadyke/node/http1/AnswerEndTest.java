package org.verbenadyke.node.http1;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/** Guards against an answer that was cut short and is given as complete. */
final class AnswerEndTest {
    private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String PART = "half of it";

    /** More than the buffers of both sockets hold, so that a part waits to be written. */
    private static final int LONG_BODY_BYTES = 64 * 1024 * 1024;

    private static final int TIMEOUT_MILLIS = 20_000;

    private final EventLoops loops = EventLoops.nio(1);
    private final ServerSocket server = listen();
    private final HttpPool pool = HttpPool.to(
            new Endpoint("127.0.0.1", server.getLocalPort()),
            loops,
            EventLoopTimerService.on(loops.group().next()),
            PoolSettings.standard());
    private final RecordedAnswer answer = RecordedAnswer.ofCall();

    @AfterEach
    void stop() throws IOException {
        server.close();
        loops.group().shutdownGracefully();
    }

    @Test
    void anAnswerWithoutLengthIsCompleteWhenTheServerClosesInOrder() throws Exception {
        send(new byte[0]);
        try (Socket socket = accept()) {
            readRequestStart(socket);
            write(socket, WITHOUT_LENGTH + PART);
        }
        assertEquals("end", answer.outcome());
        assertEquals(PART.length(), answer.bytes());
    }

    @Test
    void anAnswerWithoutLengthIsIncompleteWhenAWriteMeetsTheReset() throws Exception {
        assertIncompleteWhenReset(new byte[LONG_BODY_BYTES]);
    }

    @Test
    void anAnswerWithoutLengthIsIncompleteWhenAReadMeetsTheReset() throws Exception {
        assertIncompleteWhenReset(new byte[0]);
    }

    @Test
    void anAnswerWithoutLengthIsIncompleteWhenItIsResetWhileTheReaderPauses() throws Exception {
        HttpCall call = send(new byte[0]);
        call.throttle();
        try (Socket socket = accept()) {
            readRequestStart(socket);
            write(socket, WITHOUT_LENGTH + PART.repeat(100_000));
            reset(socket);
        }
        while (!answer.ended()) {
            call.request();
            Thread.sleep(1);
        }
        assertNotEquals("end", answer.outcome());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of it",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
                "HTTP/1.1 200 OK\r\nX-Field: a"
            })
    void anAnswerThatEndsBeforeItsOwnEndIsIncomplete(String cut) throws Exception {
        send(new byte[0]);
        try (Socket socket = accept()) {
            readRequestStart(socket);
            write(socket, cut);
        }
        assertNotEquals("end", answer.outcome());
    }

    private void assertIncompleteWhenReset(byte[] requestBody) throws Exception {
        send(requestBody);
        try (Socket socket = accept()) {
            readRequestStart(socket);
            write(socket, WITHOUT_LENGTH + PART);
            answer.awaitData();
            reset(socket);
        }
        assertNotEquals("end", answer.outcome());
    }

    private HttpCall send(byte[] body) {
        return pool.send(new HttpRequestMessage("POST", "/", List.of(), body), answer);
    }

    private static void readRequestStart(Socket socket) throws IOException {
        socket.getInputStream().read(new byte[1000]);
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private Socket accept() throws IOException {
        Socket socket = server.accept();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
