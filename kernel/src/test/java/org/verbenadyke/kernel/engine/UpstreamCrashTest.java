package org.verbenadyke.kernel.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.QuarantineStatus;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.DrainCause;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests how requests that crash upstreams are refused, and that later upstreams are protected from them. */
final class UpstreamCrashTest {
    private static final long MILLI = 1_000_000L;
    private static final Message.Content BAD = content("GET", "/bad");
    private static final List<Endpoint> SERVERS =
            IntStream.range(2, 8).mapToObj(i -> new Endpoint("10.0.0." + i, 1)).toList();

    /** The time after which a quarantined request is tried again, and a little more. */
    private static final long TRIAL_NANOS = 20_100_000_000L;

    private final MemoryNet net = new MemoryNet();
    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Quarantine quarantine = Quarantine.standalone(clock);
    private final Map<Endpoint, UpstreamPort.Listener> running = new HashMap<>();
    private final Map<Endpoint, LocalUpstream> locals = new HashMap<>();
    private final List<Endpoint> runs = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private final Engine entry = engine("entry", 1, quarantine);

    UpstreamCrashTest() {
        clock.advance(MILLI);
        SERVERS.forEach(this::start);
        route(entry);
    }

    @Test
    void isNotRetriedOnceQuarantinedAndIsReportedAsMaybeRun() {
        send(BAD);
        crash(runs.getLast());
        crash(runs.getLast());
        crash(runs.getLast());
        assertEquals(3, runs.size());
        assertEquals(1, outcomes.size());
        assertEquals("refused MAY_HAVE_RUN", outcomes.getFirst().substring(0, 20));
    }

    @Test
    void isRefusedAsNotRunWhenItIsSentAgain() {
        SERVERS.subList(0, 3).forEach(s -> quarantine.recordCrash(BAD, s.host()));
        send(BAD);
        assertEquals(List.of(), runs);
        assertEquals(List.of("refused NOT_RUN QUARANTINED 20001"), outcomes);
    }

    @Test
    void isRefusedByTheCalledNodeWhenTheEntryNodeDoesNotKnowYet() {
        SERVERS.subList(0, 3).forEach(s -> quarantine.recordCrash(BAD, s.host()));
        send(uninformedEntry(), BAD, "");
        assertEquals(List.of(), runs);
        assertEquals(List.of("refused NOT_RUN QUARANTINED 20001"), outcomes);
    }

    @Test
    void aKeyedRequestIsRefusedByTheCalledNodeToo() {
        Message.Content nonIdempotent = content("POST", "/bad");
        SERVERS.subList(0, 3).forEach(s -> quarantine.recordCrash(nonIdempotent, s.host()));
        send(uninformedEntry(), nonIdempotent, "key-1");
        assertEquals(List.of(), runs);
        assertEquals(List.of("refused NOT_RUN QUARANTINED 20001"), outcomes);
    }

    @Test
    void aTrialThatIsRejectedAsNotRunIsNotFollowedByAnotherAtOnce() {
        SERVERS.subList(0, 3).forEach(s -> quarantine.recordCrash(BAD, s.host()));
        clock.advance(TRIAL_NANOS);
        send(BAD);
        assertEquals(1, runs.size());
        running.get(runs.getFirst()).notRun();
        send(BAD);
        send(BAD);
        assertEquals(1, runs.size());
    }

    @Test
    void isNotFreedByAnUpstreamThatStopsAtTheDeadline() {
        Message.Content nonIdempotent = content("POST", "/bad");
        quarantine.recordCrash(nonIdempotent, "gone-1");
        quarantine.recordCrash(nonIdempotent, "gone-2");
        send(nonIdempotent);
        running.get(runs.getFirst()).head(504, List.of());
        running.get(runs.getFirst()).end();
        assertEquals(QuarantineStatus.SOLE_SUSPECT, quarantine.statusAtUpstream(nonIdempotent));
    }

    @Test
    void aTrialThatIsAnsweredLiftsTheQuarantine() {
        SERVERS.subList(0, 3).forEach(s -> quarantine.recordCrash(BAD, s.host()));
        clock.advance(TRIAL_NANOS);
        send(BAD);
        running.get(runs.getFirst()).head(200, List.of());
        running.get(runs.getFirst()).end();
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(BAD));
    }

    /** The request that needs the call fails with it, and no calling node retries that request. */
    @Test
    void aNestedCallIsQuarantinedAndItsFailureIsFinal() {
        SERVERS.subList(0, 3).forEach(s -> quarantine.recordCrash(BAD, s.host()));
        Endpoint calling = new Endpoint("10.0.1.1", 1);
        Engine caller = engine(calling.host(), 3, quarantine);
        route(caller);
        List<String> nested = new ArrayList<>();
        caller.attach(calling.host(), "a", (handOver, listener) -> {
            runs.add(calling);
            caller.submitNested(handOver.contextToken(), inbound("s", BAD, ""), new RecordingSink(nested));
            listener.head(500, List.of());
            listener.end();
            return new Engines.Silent();
        });
        net.listen(calling, caller::accept);
        entry.router().update(List.of(new Upstream(calling.host(), "a", calling, Engines.LOCATION)));
        entry.submit(inbound("a", content("GET", "/p"), ""), new RecordingSink(outcomes));
        assertEquals(List.of("refused NOT_RUN QUARANTINED 20001"), nested);
        assertEquals(List.of(calling), runs);
        assertEquals("head 500", outcomes.getFirst());
    }

    @Test
    void aNonIdempotentRequestRunsOnceAndItsCrashCounts() {
        Message.Content nonIdempotent = content("POST", "/bad");
        send(nonIdempotent);
        crash(runs.getLast());
        assertEquals(1, runs.size());
        assertEquals(List.of("refused MAY_HAVE_RUN UPSTREAM_ENDED 0"), outcomes);
        assertEquals(1, quarantine.crashes(10).size());
    }

    @Test
    void theCrashOfADrainingUpstreamDoesNotCount() {
        send(content("POST", "/bad"));
        locals.get(runs.getLast()).drain(DrainCause.LEAVING);
        crash(runs.getLast());
        assertEquals(
                List.of(),
                quarantine.crashes(10).stream()
                        .filter(e -> e.reportedBy().isEmpty())
                        .toList());
    }

    @Test
    void runsAloneAfterTwoCrashesAndIsFreeOnceAnswered() {
        quarantine.recordCrash(BAD, "gone-1");
        quarantine.recordCrash(BAD, "gone-2");
        for (int i = 0; i < SERVERS.size() * 4; i++) {
            send(BAD);
        }
        assertEquals(runs.stream().distinct().count(), runs.size());
        int before = runs.size();
        Endpoint first = runs.getFirst();
        running.get(first).head(200, List.of());
        running.get(first).end();
        assertEquals(QuarantineStatus.UNRESTRICTED, quarantine.statusAtUpstream(BAD));
        assertEquals(before + 1, runs.size());
        assertEquals(first, runs.getLast());
    }

    /** The suspected request waits outside of the queue, which is emptied when an upstream begins to drain. */
    @Test
    void isNotHandedToAnUpstreamThatBeganToDrainWhileItWaited() {
        quarantine.recordCrash(BAD, "gone-1");
        quarantine.recordCrash(BAD, "gone-2");
        Endpoint only = SERVERS.getFirst();
        entry.router().update(List.of(new Upstream(only.host(), "s", only, Engines.LOCATION)));
        send(BAD);
        send(BAD);
        assertEquals(List.of(only), runs);
        locals.get(only).drain(DrainCause.LEAVING);
        running.get(only).head(200, List.of());
        running.get(only).end();
        assertEquals(List.of(only), runs);
        assertEquals("refused NOT_RUN NO_UPSTREAM", outcomes.getLast().substring(0, 27));
    }

    @Test
    void isQuarantinedEvenIfItWaitedWhileOtherUpstreamsCrashed() {
        quarantine.recordCrash(BAD, "gone-1");
        quarantine.recordCrash(BAD, "gone-2");
        for (int i = 0; i < SERVERS.size() * 4; i++) {
            send(BAD);
        }
        int before = runs.size();
        crash(runs.getFirst());
        assertInstanceOf(QuarantineStatus.Quarantined.class, quarantine.statusAtEntry(BAD));
        List.copyOf(runs).forEach(s -> running.get(s).broken());
        assertEquals(before, runs.size());
    }

    private void start(Endpoint server) {
        Engine engine = engine(server.host(), 2, quarantine);
        locals.put(server, engine.attach(server.host(), "s", (handOver, listener) -> {
            runs.add(server);
            running.put(server, listener);
            return new Engines.Silent();
        }));
        net.listen(server, engine::accept);
    }

    private Engine engine(String name, long incarnation, Quarantine known) {
        return Engines.create(net, name, incarnation, clock, known);
    }

    private void route(Engine engine) {
        engine.router()
                .update(SERVERS.stream()
                        .map(s -> new Upstream(s.host(), "s", s, Engines.LOCATION))
                        .toList());
    }

    /** Returns an entry node without known crashes. */
    private Engine uninformedEntry() {
        Engine late = engine("late", 9, Quarantine.standalone(clock));
        route(late);
        return late;
    }

    private void send(Message.Content content) {
        send(entry, content, "");
    }

    private void send(Engine at, Message.Content content, String key) {
        at.submit(inbound("s", content, key), new RecordingSink(outcomes));
    }

    private static InboundRequest inbound(String service, Message.Content content, String key) {
        return new InboundRequest(service, content, key, Optional.of(10_000 * MILLI));
    }

    private void crash(Endpoint server) {
        running.get(server).upstreamCrashed();
    }

    private static Message.Content content(String method, String path) {
        return new Message.Content(method, path, List.of(), new byte[0]);
    }
}
