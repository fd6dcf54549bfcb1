package org.verbenadyke.kernel.core;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.follow.VersionedPlans;
import org.verbenadyke.kernel.link.Links;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a newer version that was heard of and never fetched. */
final class PlanExchangeTest {
    private static final long TIMEOUT_NANOS = 300_000_000L;
    private static final long REJECTED_PAUSE_NANOS = 5_000_000_000L;
    private static final Endpoint FIRST = new Endpoint("10.0.0.1", 1);
    private static final Endpoint SECOND = new Endpoint("10.0.0.2", 1);

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final RoutePlanStore plans = VersionedPlans.at(1);
    private final PlanExchange exchange = PlanExchange.of(plans, clock);
    private final Map<Endpoint, CountingLink> peers = new HashMap<>();
    private final Links links = (node, callback) -> callback.accept(Optional.ofNullable(peers.get(node)));

    PlanExchangeTest() {
        peers.put(FIRST, new CountingLink());
        peers.put(SECOND, new CountingLink());
    }

    @Test
    void asksOneNodeAtATime() {
        exchange.fetch(links, FIRST, 2);
        exchange.fetch(links, SECOND, 2);
        exchange.fetch(links, FIRST, 2);
        assertEquals(List.of(1, 0), requests());
    }

    @Test
    void asksTheNextNodeWhenOneDoesNotAnswer() {
        exchange.fetch(links, FIRST, 2);
        exchange.fetch(links, SECOND, 2);
        clock.advance(TIMEOUT_NANOS);
        assertEquals(List.of(1, 1), requests());
        reply(SECOND, 2);
        assertEquals(2, plans.version());
        clock.advance(TIMEOUT_NANOS);
        assertEquals(List.of(1, 1), requests());
    }

    @Test
    void asksTheNextNodeAtOnceWhenOneCannotBeReached() {
        peers.remove(FIRST);
        exchange.fetch(links, FIRST, 2);
        exchange.fetch(links, SECOND, 2);
        assertEquals(1, peers.get(SECOND).requests);
    }

    /** A silent link is only found while an answer is awaited on it. */
    @Test
    void awaitsTheAnswerOfANodeThatIsSilent() {
        exchange.fetch(links, FIRST, 2);
        clock.advance(2 * TIMEOUT_NANOS);
        assertEquals(1, peers.get(FIRST).awaited);
        reply(FIRST, 2);
        assertEquals(0, peers.get(FIRST).awaited);
    }

    @Test
    void takesALateAnswer() {
        exchange.fetch(links, FIRST, 2);
        exchange.fetch(links, SECOND, 2);
        clock.advance(TIMEOUT_NANOS);
        reply(FIRST, 2);
        assertEquals(2, plans.version());
    }

    @Test
    void fetchesAnEvenNewerVersionNext() {
        exchange.fetch(links, FIRST, 2);
        exchange.fetch(links, SECOND, 3);
        reply(FIRST, 2);
        assertEquals(List.of(1, 1), requests());
        reply(SECOND, 3);
        assertEquals(3, plans.version());
    }

    @Test
    void asksAnotherNodeWhenADocumentIsRejected() {
        exchange.fetch(links, FIRST, 2);
        replyDamaged(FIRST);
        exchange.fetch(links, SECOND, 2);
        reply(SECOND, 2);
        assertEquals(2, plans.version());
    }

    /** Peers of another build may accept a document that this node rejects. */
    @Test
    void doesNotFetchARejectedVersionAgainAndAgain() {
        for (int i = 0; i < 10; i++) {
            exchange.fetch(links, FIRST, 2);
            replyDamaged(FIRST);
        }
        assertEquals(List.of(3, 0), requests());
        exchange.fetch(links, SECOND, 3);
        reply(SECOND, 3);
        assertEquals(3, plans.version());
    }

    @Test
    void fetchesARejectedVersionOnceMoreAfterAWhile() {
        for (int i = 0; i < 3; i++) {
            exchange.fetch(links, FIRST, 2);
            replyDamaged(FIRST);
        }
        clock.advance(REJECTED_PAUSE_NANOS);
        exchange.fetch(links, FIRST, 2);
        reply(FIRST, 2);
        assertEquals(2, plans.version());
    }

    private void replyDamaged(Endpoint node) {
        exchange.received(peers.get(node), new Message.PlanReply("damaged".getBytes(StandardCharsets.US_ASCII)));
    }

    private List<Integer> requests() {
        return List.of(peers.get(FIRST).requests, peers.get(SECOND).requests);
    }

    private void reply(Endpoint node, long version) {
        exchange.received(peers.get(node), new Message.PlanReply(VersionedPlans.document(version)));
    }

    /** A link that counts requests and awaited answers. */
    private static final class CountingLink implements Link {
        private int requests;
        private int awaited;

        @Override
        public void send(Message message) {
            requests++;
        }

        @Override
        public void close() {
            // Never closed.
        }

        @Override
        public long peerClock() {
            return 0;
        }

        @Override
        public long peerIncarnation() {
            return 0;
        }

        @Override
        public void adjustAwaited(int delta) {
            awaited += delta;
        }

        @Override
        public boolean closed() {
            return false;
        }
    }
}
