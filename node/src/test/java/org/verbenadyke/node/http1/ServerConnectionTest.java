package org.verbenadyke.node.http1;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.body.BodyReservation;
import org.verbenadyke.kernel.route.RequestKind;
import org.verbenadyke.kernel.route.RequestLimits;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.node.transport.EventLoops;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests how {@link ServerConnection} reads bodies when there is memory for them, and stops when there is none. */
final class ServerConnectionTest {
    private static final long MILLI = 1_000_000L;
    private static final long IDLE_NANOS = 15_000 * MILLI;
    private static final long PAUSE_NANOS = StallDetector.MAX_PAUSE_NANOS;
    private static final int LIMIT = BodyMemory.MAX_BODY_BYTES;
    private static final int BODY_BYTES = 100_000;
    private static final long NO_WAIT_LEFT_NANOS = 101 * MILLI;

    private final EventLoops loops = EventLoops.nio(1);
    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<HttpExchange> handled = new ArrayList<>();
    private final List<HttpExchange> stalled = new ArrayList<>();
    private boolean counted = true;
    private RequestKind kind = RequestKind.UPLOAD;
    private final BodyMemory memory =
            BodyMemory.of(LIMIT, clock, () -> Optional.of(plan()), () -> new SplittableRandom(1));
    private final ServerLimits limits = new ServerLimits(8_192, LIMIT, IDLE_NANOS);
    private final HttpServer server = HttpServer.listen(freeEndpoint(), loops, clock, () -> limits, memory, handler());
    private final ServerConnection connection = new ServerConnection(server, limits);
    private final EmbeddedChannel channel = new EmbeddedChannel(new HttpServerCodec(), connection);

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
        server.close();
        loops.group().shutdownGracefully();
    }

    @Test
    void stopsReadingWhileThereIsNoMemoryAndResumes() {
        BodyReservation other = fill();
        send(head(BODY_BYTES));
        assertFalse(channel.config().isAutoRead());
        send(body(BODY_BYTES / 2));
        other.release();
        run();
        assertTrue(channel.config().isAutoRead());
        send(body(BODY_BYTES / 2));
        assertArrayEquals(new byte[BODY_BYTES], handled.getFirst().request().body());
        assertEquals(BODY_BYTES, memory.enteringBytes());
        handled.getFirst().answer(200, List.of(), new byte[0]);
        assertEquals(0, memory.enteringBytes());
    }

    /** Closing the connection with unread data would reset it, and the caller could lose the refusal. */
    @Test
    void answersARefusedRequestAtOnceAndServesTheNextOneOnTheConnection() {
        BodyReservation other = fill();
        send(head(BODY_BYTES));
        send(body(BODY_BYTES / 2));
        clock.advance(NO_WAIT_LEFT_NANOS);
        run();
        assertTrue(sent().startsWith("HTTP/1.1 503"));
        other.release();
        send(body(BODY_BYTES / 2));
        assertEquals(0, handled.size());
        send(head(BODY_BYTES));
        send(body(BODY_BYTES));
        assertEquals(1, handled.size());
        assertTrue(channel.isOpen());
    }

    /** Closing the connection with unread data would reset it, and the caller could lose the rejection. */
    @Test
    void readsTheRestOfABodyThatIsTooLargeBeforeItCloses() {
        send(head(LIMIT + 1));
        assertTrue(sent().startsWith("HTTP/1.1 413"));
        send(body(LIMIT));
        assertTrue(channel.isOpen());
        send(body(1));
        assertFalse(channel.isOpen());
        assertEquals(0, handled.size() + memory.enteringBytes());
    }

    @Test
    void closesAConnectionWhoseTooLargeBodyGoesOn() {
        send(head(Integer.MAX_VALUE));
        send(body(LIMIT));
        clock.advance(PAUSE_NANOS);
        run();
        assertFalse(channel.isOpen());
    }

    @Test
    void releasesWhenTheCallerLeavesWhileItWaitsOrIsServed() {
        BodyReservation other = fill();
        send(head(BODY_BYTES));
        channel.close();
        other.release();
        run();
        assertEquals(0, memory.enteringBytes() + memory.waiting());
        EmbeddedChannel second = new EmbeddedChannel(new HttpServerCodec(), new ServerConnection(server, limits));
        second.writeInbound(head(BODY_BYTES), body(BODY_BYTES));
        assertEquals(BODY_BYTES, memory.enteringBytes());
        second.close();
        handled.getFirst().answer(200, List.of(), new byte[0]);
        assertEquals(0, memory.enteringBytes());
    }

    @Test
    void reservesTheMostForABodyOfUnknownLengthAndReturnsTheRest() {
        BodyReservation other = fill();
        send(ascii("POST /u/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"));
        assertTrue(channel.config().isAutoRead());
        sendChunk(20_000);
        assertFalse(channel.config().isAutoRead());
        sendChunk(30_000);
        other.release();
        run();
        assertEquals(LIMIT, memory.enteringBytes());
        send(ascii("0\r\n\r\n"));
        assertEquals(50_000, handled.getFirst().request().body().length);
        assertEquals(50_000, memory.enteringBytes());
    }

    /** A caller that stalls would otherwise hold its memory for as long as it keeps the connection open. */
    @Test
    void refusesABodyThatStalls() {
        send(head(BODY_BYTES));
        send(body(1));
        pauseFor(PAUSE_NANOS + MILLI);
        assertEquals(1, stalled.size());
        assertEquals(0, memory.enteringBytes());
        assertTrue(sent().contains("connection: close"));
        assertFalse(channel.isOpen());
    }

    /** A slow caller must not be refused while its body goes on arriving. */
    @Test
    void readsASlowBodyThatDoesNotStall() {
        send(head(BODY_BYTES));
        for (int i = 0; i < 10; i++) {
            pauseFor(PAUSE_NANOS - MILLI);
            send(body(BODY_BYTES / 10));
        }
        assertEquals(1, handled.size());
        assertEquals(0, stalled.size());
    }

    @Test
    void closesAConnectionThatStallsInTheRestOfARefusedBody() {
        fill();
        send(head(BODY_BYTES));
        clock.advance(NO_WAIT_LEFT_NANOS);
        run();
        pauseFor(PAUSE_NANOS - MILLI);
        send(body(1));
        pauseFor(PAUSE_NANOS - MILLI);
        assertTrue(channel.isOpen());
        pauseFor(2 * MILLI);
        assertFalse(channel.isOpen());
    }

    @Test
    void invitesABodyOnlyWhenThereIsMemory() {
        BodyReservation other = fill();
        send(ascii("POST /u/ HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 50000\r\n\r\n"));
        assertEquals("", sent());
        other.release();
        run();
        assertTrue(sent().startsWith("HTTP/1.1 100"));
        send(body(50_000));
        assertEquals(1, handled.size());
    }

    @Test
    void closesAConnectionWhoseUninvitedBodyIsRefused() {
        fill();
        send(ascii("POST /u/ HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 50000\r\n\r\n"));
        clock.advance(NO_WAIT_LEFT_NANOS);
        run();
        assertTrue(sent().contains("connection: close"));
        assertFalse(channel.isOpen());
    }

    @Test
    void aPlannedStopServesAnUploadThatWaits() {
        BodyReservation other = fill();
        send(head(BODY_BYTES));
        server.shutdownGracefully();
        connection.closeIfIdle(clock.nanos());
        run();
        assertTrue(channel.isOpen());
        other.release();
        run();
        send(body(BODY_BYTES));
        handled.getFirst().answer(200, List.of(), new byte[0]);
        assertTrue(sent().startsWith("HTTP/1.1 200"));
        assertFalse(channel.isOpen());
    }

    @Test
    void aPlannedStopReadsTheRestOfARefusedBodyBeforeItCloses() {
        fill();
        send(head(BODY_BYTES));
        server.shutdownGracefully();
        clock.advance(NO_WAIT_LEFT_NANOS);
        run();
        assertTrue(sent().contains("connection: close"));
        assertTrue(channel.isOpen());
        send(body(BODY_BYTES));
        assertFalse(channel.isOpen());
    }

    /** A call that an upload waits for must not wait behind other uploads, whether its length is known or not. */
    @Test
    void readsABodyThatIsNotCountedWhileThereIsNoMemory() {
        counted = false;
        fill();
        send(head(BODY_BYTES));
        assertTrue(channel.config().isAutoRead());
        send(body(BODY_BYTES));
        assertEquals(1, handled.size());
        handled.getFirst().answer(200, List.of(), new byte[0]);
        send(ascii("POST /u/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"));
        sendChunk(BODY_BYTES);
        send(ascii("0\r\n\r\n"));
        assertEquals(2, handled.size());
        assertEquals(LIMIT, memory.enteringBytes());
    }

    @Test
    void readsAllBodiesAtOnceWithoutUploadRoutes() {
        kind = RequestKind.NON_IDEMPOTENT;
        for (int i = 1; i <= 3; i++) {
            send(head(LIMIT));
            assertTrue(channel.config().isAutoRead());
            send(body(LIMIT));
            handled.getLast().answer(200, List.of(), new byte[0]);
            assertEquals(i, handled.size());
        }
        assertEquals(0, memory.enteringBytes());
    }

    private HttpHandler handler() {
        return new HttpHandler() {
            @Override
            public void handle(HttpExchange exchange) {
                handled.add(exchange);
            }

            @Override
            public void refuseStalledBody(HttpExchange exchange) {
                stalled.add(exchange);
                HttpHandler.super.refuseStalledBody(exchange);
            }

            @Override
            public boolean countsBody(HttpRequestMessage head) {
                return counted;
            }
        };
    }

    private void pauseFor(long nanos) {
        clock.advance(nanos);
        connection.closeIfIdle(clock.nanos());
        run();
    }

    private BodyReservation fill() {
        return memory.reserve(LIMIT, new BodyMemory.Listener() {
            @Override
            public void granted() {
                // Granted at once.
            }

            @Override
            public void refused() {
                // Granted at once.
            }
        });
    }

    private void send(ByteBuf bytes) {
        channel.writeInbound(bytes);
        run();
    }

    private void sendChunk(int length) {
        send(ascii(Integer.toHexString(length) + "\r\n"));
        send(body(length));
        send(ascii("\r\n"));
    }

    private void run() {
        channel.runPendingTasks();
    }

    private String sent() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf b = channel.readOutbound(); b != null; b = channel.readOutbound()) {
            text.append(b.toString(StandardCharsets.US_ASCII));
            b.release();
        }
        return text.toString();
    }

    private static ByteBuf head(int length) {
        return ascii("POST /u/ HTTP/1.1\r\nhost: h\r\ncontent-length: " + length + "\r\n\r\n");
    }

    private static ByteBuf body(int length) {
        return Unpooled.wrappedBuffer(new byte[length]);
    }

    private static ByteBuf ascii(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private RoutePlan plan() {
        Route route = new Route("up", "h", "/u/", List.of(), kind, 2_000 * MILLI, 800 * MILLI, 2, 1, true);
        return RoutePlan.of(1, List.of(route), List.of(), RequestLimits.standard());
    }

    private static Endpoint freeEndpoint() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Endpoint("127.0.0.1", socket.getLocalPort());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
