package org.verbenadyke.kernel.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link LinkPool} and the links in it. */
final class LinkPoolTest {
    private static final long MILLI = 1_000_000L;
    private static final Endpoint PEER = new Endpoint("10.0.0.2", 1);

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Counters counters = Counters.create();
    private final List<Message> sent = new ArrayList<>();
    private final List<Link> lost = new ArrayList<>();
    private final List<Transport.Handler> opened = new ArrayList<>();
    private boolean answering = true;
    private final LinkPool pool = LinkPool.create(
            new Message.Hello(Message.VERSION, "me", 1),
            clock,
            LinkSettings.standard(),
            (endpoint, handler) -> opened.add(handler),
            counters,
            new Listener());

    @Test
    void isReadyAfterHelloAndClock() {
        List<Optional<Link>> got = new ArrayList<>();
        pool.acquire(PEER, got::add);
        open(Message.VERSION);
        assertEquals(1, got.size());
        assertEquals(7, got.getFirst().orElseThrow().peerClock());
    }

    @Test
    void refusesAnotherProtocolVersion() {
        List<Optional<Link>> got = new ArrayList<>();
        pool.acquire(PEER, got::add);
        open(Message.VERSION + 1);
        assertEquals(List.of(Optional.empty()), got);
    }

    @Test
    void closesASilentLinkWithinASecondWhileAnAnswerIsAwaited() {
        Link link = ready();
        clock.advance(2_000 * MILLI);
        answering = false;
        link.adjustAwaited(1);
        clock.advance(1_000 * MILLI);
        assertTrue(link.closed());
        assertEquals(List.of(link), lost);
        assertEquals(1, counters.events(Event.LINK_SILENT));
    }

    @Test
    void keepsALinkThatAnswers() {
        Link link = ready();
        link.adjustAwaited(1);
        clock.advance(30_000 * MILLI);
        assertFalse(link.closed());
    }

    @Test
    void refreshesThePeerClockOnABusyLink() {
        Link link = ready();
        link.adjustAwaited(1);
        for (int i = 0; i < 100; i++) {
            opened.getFirst().received(new Message.Cancel(new CallId(1, i)));
            clock.advance(100 * MILLI);
        }
        assertTrue(clock.nanos() - link.peerClock() < 4_000 * MILLI);
    }

    @Test
    void keepsTheLinkAfterAPauseOfThisProcess() {
        Link link = ready();
        link.adjustAwaited(1);
        clock.advance(500 * MILLI);
        clock.jump(5_000 * MILLI);
        clock.advance(100 * MILLI);
        assertFalse(link.closed());
    }

    private Link ready() {
        List<Optional<Link>> got = new ArrayList<>();
        pool.acquire(PEER, got::add);
        open(Message.VERSION);
        return got.getFirst().orElseThrow();
    }

    private void open(int version) {
        Transport.Handler handler = opened.getFirst();
        handler.opened(new FakeChannel(handler));
        handler.received(new Message.Hello(version, "peer", 2));
        handler.received(new Message.Heartbeat(7));
    }

    /** Replies to heartbeats like a peer. */
    private final class FakeChannel implements Channel {
        private final Transport.Handler handler;

        private FakeChannel(Transport.Handler handler) {
            this.handler = handler;
        }

        @Override
        public void write(Message message) {
            sent.add(message);
            if (answering && message instanceof Message.Heartbeat && sent.size() > 2) {
                clock.after(MILLI, () -> handler.received(new Message.Heartbeat(clock.nanos())));
            }
        }

        @Override
        public void close() {
            handler.connectionClosed();
        }
    }

    /** Records lost links. */
    private final class Listener implements LinkPool.Listener {
        @Override
        public void received(Link link, Message message) {
            // Messages are not checked by these tests.
        }

        @Override
        public void linkLost(Link link) {
            lost.add(link);
        }
    }
}
