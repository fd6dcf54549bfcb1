package org.verbenadyke.kernel.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Tests inquiries about a non-idempotent attempt to a node that no longer knows it.
 *
 * <p>Guards against a request running twice: its node crashes after handing it to the upstream and restarts, and the
 * entry node queries the new process about the attempt. With its empty history that process took the unknown id for one
 * that never arrived, sealed it and answered that it had not run, so that the entry node sent the request to another
 * server. Observed for two requests when seven of seventeen nodes crashed 0.2 to 0.3 seconds after the hand-over and
 * restarted 0.85 seconds later; the second runs began within 0.1 seconds (at 15.491 s and 15.531 s) of the new process
 * learning of its first member (at 15.447 s). A node that did not restart forgets an attempt, too, if the entry node
 * was paused for longer than ids are retained.
 */
final class ForgottenAttemptTest {
    private static final long MILLI = 1_000_000L;
    private static final long TTL = 2_000 * MILLI;
    private static final List<Endpoint> SERVERS = List.of(new Endpoint("10.0.0.2", 1), new Endpoint("10.0.0.3", 1));

    private final MemoryNet net = new MemoryNet();
    private final VirtualTimerService entryClock = VirtualTimerService.startingAt(0);
    private final VirtualTimerService serverClock = VirtualTimerService.startingAt(0);
    private final Map<Endpoint, UpstreamPort.Listener> running = new HashMap<>();
    private final List<Endpoint> runs = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private final Engine entry = Engines.create(net, "entry", 1, entryClock, Quarantine.standalone(entryClock));

    ForgottenAttemptTest() {
        entryClock.advance(MILLI);
        serverClock.advance(MILLI);
        SERVERS.forEach(s -> start(s, 2));
        entry.router()
                .update(SERVERS.stream()
                        .map(s -> new Upstream(s.host(), "s", s, Engines.LOCATION))
                        .toList());
    }

    @Test
    void isNotReroutedWhenItsNodeHasRestarted() {
        send("POST");
        Endpoint first = runs.getFirst();
        net.crash(first);
        entryClock.advance(300 * MILLI);
        assertEquals(List.of(), outcomes);
        start(first, 3);
        entryClock.advance(300 * MILLI);
        assertEquals(List.of(first), runs);
        assertEquals(List.of("refused MAY_HAVE_RUN CONNECTION_LOST 0"), outcomes);
    }

    @Test
    void isNotReroutedWhenItsNodeForgotItWhileTheEntryNodeWasPaused() {
        send("POST");
        Endpoint first = runs.getFirst();
        net.pauseClients();
        answer(first);
        serverClock.advance(200_000 * MILLI);
        net.resumeClients();
        entryClock.advance(300 * MILLI);
        assertEquals(List.of(first), runs);
        assertEquals(List.of("refused MAY_HAVE_RUN CONNECTION_LOST 0"), outcomes);
    }

    @Test
    void isReroutedWhenItNeverReachedItsNode() {
        while (runs.stream().distinct().count() < SERVERS.size()) {
            send("GET");
            answer(runs.getLast());
        }
        runs.clear();
        SERVERS.forEach(net::dropIncoming);
        send("POST");
        assertEquals(List.of(), runs);
        SERVERS.forEach(net::reset);
        entryClock.advance(300 * MILLI);
        assertEquals(1, runs.size());
    }

    private void start(Endpoint server, long incarnation) {
        Engine engine =
                Engines.create(net, server.host(), incarnation, serverClock, Quarantine.standalone(serverClock));
        engine.attach(server.host(), "s", (handOver, listener) -> {
            runs.add(server);
            running.put(server, listener);
            return new Engines.Silent();
        });
        net.listen(server, engine::accept);
    }

    private void send(String method) {
        Message.Content content = new Message.Content(method, "/p", List.of(), new byte[0]);
        entry.submit(new InboundRequest("s", content, "", Optional.of(TTL)), new RecordingSink(outcomes));
    }

    private void answer(Endpoint server) {
        running.get(server).head(201, List.of());
        running.get(server).end();
    }
}
