package org.verbenadyke.node.http1;

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
    private static final int LIMIT = (int) BodyMemory.MIN_BYTES;
    private static final int BODY_BYTES = 100_000;
    private static final long NO_WAIT_LEFT_NANOS = 101 * MILLI;

    private final EventLoops loops = EventLoops.nio(1);
    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<HttpExchange> handled = new ArrayList<>();
    private RequestKind kind = RequestKind.UPLOAD;
    private final BodyMemory memory =
            BodyMemory.of(LIMIT, clock, () -> Optional.of(plan()), () -> new SplittableRandom(1));

    /** Takes all memory until a test releases it. */
    private final BodyReservation other = memory.reserve(LIMIT, new BodyMemory.Listener() {
        @Override
        public void granted() {}

        @Override
        public void refused() {}
    });

    private final ServerLimits limits = new ServerLimits(8_192, LIMIT, IDLE_NANOS);
    private final HttpServer server =
            HttpServer.listen(new Endpoint("127.0.0.1", 0), loops, clock, () -> limits, memory, handled::add);
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
        send(head(BODY_BYTES));
        assertFalse(channel.config().isAutoRead());
        send(body(BODY_BYTES / 2));
        release();
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
        send(head(BODY_BYTES), body(BODY_BYTES / 2));
        advance(NO_WAIT_LEFT_NANOS);
        assertTrue(sent().startsWith("HTTP/1.1 503"));
        other.release();
        send(body(BODY_BYTES / 2));
        assertEquals(0, handled.size());
        send(head(BODY_BYTES), body(BODY_BYTES));
        assertEquals(1, handled.size());
        assertTrue(channel.isOpen());
    }

    @Test
    void releasesWhenTheCallerLeavesWhileItWaitsOrIsServed() {
        send(head(BODY_BYTES));
        channel.close();
        release();
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
        send(post("transfer-encoding: chunked"));
        assertTrue(channel.config().isAutoRead());
        sendChunk(20_000);
        assertFalse(channel.config().isAutoRead());
        sendChunk(30_000);
        release();
        assertEquals(LIMIT, memory.enteringBytes());
        send(ascii("0\r\n\r\n"));
        assertEquals(50_000, handled.getFirst().request().body().length);
        assertEquals(50_000, memory.enteringBytes());
    }

    /** A caller that stalls would otherwise hold its memory for as long as it keeps the connection open. */
    @Test
    void refusesABodyThatDoesNotArriveInTime() {
        other.release();
        send(head(BODY_BYTES), body(1));
        clock.advance(IDLE_NANOS + MILLI);
        connection.closeIfIdle(clock.nanos());
        run();
        assertTrue(sent().startsWith("HTTP/1.1 408"));
        assertFalse(channel.isOpen());
        assertEquals(0, memory.enteringBytes());
    }

    @Test
    void invitesABodyOnlyWhenThereIsMemory() {
        send(post("expect: 100-continue\r\ncontent-length: 50000"));
        assertEquals("", sent());
        release();
        assertTrue(sent().startsWith("HTTP/1.1 100"));
        send(body(50_000));
        assertEquals(1, handled.size());
    }

    @Test
    void closesAConnectionWhoseUninvitedBodyIsRefused() {
        send(post("expect: 100-continue\r\ncontent-length: 50000"));
        advance(NO_WAIT_LEFT_NANOS);
        assertTrue(sent().contains("connection: close"));
        assertFalse(channel.isOpen());
    }

    @Test
    void aPlannedStopServesAnUploadThatWaits() {
        send(head(BODY_BYTES));
        server.shutdownGracefully();
        connection.closeIfIdle(clock.nanos());
        run();
        assertTrue(channel.isOpen());
        release();
        send(body(BODY_BYTES));
        handled.getFirst().answer(200, List.of(), new byte[0]);
        assertTrue(sent().startsWith("HTTP/1.1 200"));
        assertFalse(channel.isOpen());
    }

    @Test
    void aPlannedStopReadsTheRestOfARefusedBodyBeforeItCloses() {
        send(head(BODY_BYTES));
        server.shutdownGracefully();
        advance(NO_WAIT_LEFT_NANOS);
        assertTrue(sent().contains("connection: close"));
        assertTrue(channel.isOpen());
        send(body(BODY_BYTES));
        assertFalse(channel.isOpen());
    }

    @Test
    void readsAllBodiesAtOnceWithoutUploadRoutes() {
        other.release();
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

    private void send(ByteBuf... parts) {
        for (ByteBuf part : parts) {
            channel.writeInbound(part);
            run();
        }
    }

    private void sendChunk(int length) {
        send(ascii(Integer.toHexString(length) + "\r\n"), body(length), ascii("\r\n"));
    }

    private void release() {
        other.release();
        run();
    }

    private void advance(long nanos) {
        clock.advance(nanos);
        run();
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
        return post("content-length: " + length);
    }

    private static ByteBuf post(String fields) {
        return ascii("POST /u/ HTTP/1.1\r\nhost: h\r\n" + fields + "\r\n\r\n");
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
}
