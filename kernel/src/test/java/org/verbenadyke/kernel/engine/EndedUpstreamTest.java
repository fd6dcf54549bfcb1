package org.verbenadyke.kernel.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.Standing;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Place;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.KeyClaims;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests what callers are told of requests under which upstreams end, and what these still get. */
final class EndedUpstreamTest {
    private static final long MILLI = 1_000_000L;
    private static final Place PLACE = new Place("r", "d");
    private static final Message.Content BAD = content("GET", "/bad");
    private static final List<Endpoint> SERVERS =
            IntStream.range(2, 8).mapToObj(i -> new Endpoint("10.0.0." + i, 1)).toList();

    private final MemoryNet net = new MemoryNet();
    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Quarantine quarantine = Quarantine.alone(clock);
    private final Map<Endpoint, UpstreamPort.Listener> running = new HashMap<>();
    private final Map<Endpoint, LocalUpstream> locals = new HashMap<>();
    private final List<Endpoint> runs = new ArrayList<>();
    private final List<String> got = new ArrayList<>();
    private final Engine entry = engine("entry", 1);

    EndedUpstreamTest() {
        clock.advance(MILLI);
        SERVERS.forEach(this::start);
        entry.router()
                .update(SERVERS.stream()
                        .map(s -> new Upstream(s.host(), "s", s, PLACE))
                        .toList());
    }

    @Test
    void isNotTriedAgainOnceItIsHeldBackAndIsToldThatItMayHaveRun() {
        send(BAD);
        end(runs.getLast());
        end(runs.getLast());
        end(runs.getLast());
        assertEquals(3, runs.size());
        assertEquals(1, got.size());
        assertEquals("refused MAY_HAVE_RUN", got.getFirst().substring(0, 20));
    }

    @Test
    void isRefusedAsNotRunWhenItComesAgain() {
        SERVERS.subList(0, 3).forEach(s -> quarantine.ended(BAD, s.host()));
        send(BAD);
        assertEquals(List.of(), runs);
        assertEquals(List.of("refused NOT_RUN QUARANTINED 20001"), got);
    }

    @Test
    void isStoppedAtTheUpstreamWhereTheEntryDoesNotKnowYet() {
        send(content("GET", "/other"));
        Quarantine unknowing = Quarantine.alone(clock);
        Engine late = engine("late", 9, unknowing);
        late.router()
                .update(SERVERS.stream()
                        .map(s -> new Upstream(s.host(), "s", s, PLACE))
                        .toList());
        SERVERS.subList(0, 3).forEach(s -> quarantine.ended(BAD, s.host()));
        runs.clear();
        send(late, BAD);
        assertEquals(List.of(), runs);
        assertEquals(List.of("refused NOT_RUN QUARANTINED 20001"), got);
    }

    @Test
    void aFilingIsRunOnceAndCountsToo() {
        Message.Content filing = content("POST", "/bad");
        send(filing);
        end(runs.getLast());
        assertEquals(1, runs.size());
        assertEquals(List.of("refused MAY_HAVE_RUN UPSTREAM_ENDED 0"), got);
        assertEquals(1, quarantine.ends(10).size());
    }

    @Test
    void anUpstreamThatWasLeavingTellsNothingByItsEnd() {
        send(content("POST", "/bad"));
        locals.get(runs.getLast()).drain(true);
        end(runs.getLast());
        assertEquals(
                List.of(),
                quarantine.ends(10).stream().filter(e -> e.toldBy().isEmpty()).toList());
    }

    @Test
    void runsAloneAfterTwoEndsAndIsFreeOnceAnswered() {
        quarantine.ended(BAD, "gone-1");
        quarantine.ended(BAD, "gone-2");
        for (int i = 0; i < SERVERS.size() * 4; i++) {
            send(BAD);
        }
        assertEquals(runs.stream().distinct().count(), runs.size());
        int before = runs.size();
        Endpoint first = runs.getFirst();
        running.get(first).head(200, List.of());
        running.get(first).end();
        assertEquals(Standing.FREE, quarantine.atUpstream(BAD));
        assertEquals(before + 1, runs.size());
        assertEquals(first, runs.getLast());
    }

    @Test
    void isHeldBackThoughItWaitedWhileUpstreamsEndedElsewhere() {
        quarantine.ended(BAD, "gone-1");
        quarantine.ended(BAD, "gone-2");
        for (int i = 0; i < SERVERS.size() * 4; i++) {
            send(BAD);
        }
        int before = runs.size();
        end(runs.getFirst());
        assertInstanceOf(Standing.Held.class, quarantine.atEntry(BAD));
        List.copyOf(runs).forEach(s -> running.get(s).broken());
        assertEquals(before, runs.size());
    }

    private void start(Endpoint server) {
        Engine engine = engine(server.host(), 2);
        locals.put(server, engine.attach(server.host(), "s", (handOver, listener) -> {
            runs.add(server);
            running.put(server, listener);
            return new Silent();
        }));
        net.listen(server, engine::accept);
    }

    private Engine engine(String name, long incarnation) {
        return engine(name, incarnation, quarantine);
    }

    private Engine engine(String name, long incarnation, Quarantine known) {
        SplittableRandom random = new SplittableRandom(incarnation);
        EngineParts parts = new EngineParts(
                name,
                incarnation,
                PLACE,
                clock,
                net.transport(),
                () -> random,
                Counters.create(),
                Ledger.off(),
                DecisionLog.none(),
                known,
                KeyClaims.alone(),
                (link, message) -> {},
                (link, message) -> {});
        return Engine.create(parts, Policy.standard());
    }

    private void send(Message.Content content) {
        send(entry, content);
    }

    private void send(Engine at, Message.Content content) {
        at.enter(new Inbound("s", content, "", Optional.of(10_000 * MILLI)), new RecordingSink(got));
    }

    private void end(Endpoint server) {
        running.get(server).upstreamEnded();
    }

    private static Message.Content content(String method, String path) {
        return new Message.Content(method, path, List.of(), new byte[0]);
    }

    /** A running call that can't be steered. */
    private static final class Silent implements UpstreamPort.Exchange {
        @Override
        public void request() {
            // The answer comes when the test wants.
        }

        @Override
        public void cancel() {
            // The run goes on.
        }
    }
}
