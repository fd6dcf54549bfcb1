package org.verbenadyke.node.http1;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against bytes that are no request in the protocol and that are passed on as one. */
final class BrokenRequestTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final long IDLE_NANOS = 15_000_000_000L;
    private static final String HOST = "Host: h\r\n";
    private static final String LINE = "POST /p HTTP/1.1\r\n";

    private final EventLoops loops = EventLoops.nio(1);
    private final Endpoint endpoint = freeEndpoint();
    private final Queue<HttpRequestMessage> handled = new ConcurrentLinkedQueue<>();
    private final HttpServer server = HttpServer.listen(
            endpoint,
            loops,
            EventLoopTimerService.on(loops.group().next()),
            () -> new ServerLimits(8_192, 8_192, IDLE_NANOS),
            exchange -> {
                handled.add(exchange.request());
                exchange.answer(200, List.of(), new byte[0]);
            });

    @AfterEach
    void stop() {
        server.close();
        loops.group().shutdownGracefully();
    }

    @ParameterizedTest
    @MethodSource("brokenRequests")
    void aBrokenRequestIsRejectedAndNotPassedOn(String request) throws IOException {
        String answer = exchange(request);
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
        assertEquals(List.of(), List.copyOf(handled));
    }

    @ParameterizedTest
    @MethodSource("properRequests")
    void aProperRequestIsPassedOn(String request) throws IOException {
        String answer = exchange(request);
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
    }

    /** Sends bytes and returns what comes until the connection closes. */
    private String exchange(String bytes) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(endpoint.host(), endpoint.port()));
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static Stream<String> brokenRequests() {
        Stream<String> lines = Stream.of(
                        "POST /p HTTP/2.0",
                        "POST /p HTTP/9.9",
                        "POST /p HTTP/1.2",
                        "POST /p http/1.1",
                        "POST /p",
                        "POST /p /q HTTP/1.1",
                        "PO(ST /p HTTP/1.1",
                        "POST /p\u0001q HTTP/1.1",
                        "POST /p\u007fq HTTP/1.1")
                .map(line -> line + "\r\n" + HOST + "Content-Length: 0\r\n\r\n");
        Stream<String> fields = Stream.of(
                        "X Bad: y",
                        "X\tBad: y",
                        "X-Bad : y",
                        "X\u0001Bad: y",
                        "X\u00e9: y",
                        "X(Bad): y",
                        ": y",
                        "X-Bad")
                .flatMap(field -> Stream.of(
                        LINE + HOST + field + "\r\nContent-Length: 4\r\n\r\nbody",
                        LINE + field + "\r\n" + HOST + "Content-Length: 4\r\n\r\nbody"));
        Stream<String> framings = Stream.of(
                        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                        "Content-Length : 4\r\n\r\nbody",
                        "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
                        "Content-Length: +4\r\n\r\nbody",
                        "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                        "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                        "Transfer-Encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                        "Transfer-Encoding: identity\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                        "Transfer-Encoding: xchunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Bad: y\r\n\r\n",
                        "Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n")
                .map(rest -> LINE + HOST + rest);
        return Stream.of(lines, fields, framings).flatMap(s -> s);
    }

    private static Stream<String> properRequests() {
        return Stream.of(
                "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
                "\r\nPOST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
                "POST /p HTTP/1.0\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
                "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\nX-T: y\r\n\r\n",
                "GET /p HTTP/1.1\r\nHost: h\r\nX-Odd!#$%&'*+-.^_`|~9: y\r\n\r\n",
                "HEAD /p HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    private static Endpoint freeEndpoint() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new Endpoint("127.0.0.1", socket.getLocalPort());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
