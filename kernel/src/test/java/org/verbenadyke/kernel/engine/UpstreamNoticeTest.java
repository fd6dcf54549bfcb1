package org.verbenadyke.kernel.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.notice.RateNotice;
import org.verbenadyke.kernel.notice.UpstreamNotice;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.Attachment;
import org.verbenadyke.kernel.serve.DrainCause;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests how long what an upstream states about itself holds, through reattachments and restarts of its node. */
final class UpstreamNoticeTest {
    private static final long MILLI = 1_000_000L;
    private static final long START = 7;
    private static final Endpoint SERVER = new Endpoint("10.0.0.2", 1);
    private static final UpstreamNotice LEAVING = new UpstreamNotice(new RateNotice.None(), true);

    private final MemoryNet net = new MemoryNet();
    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<Endpoint> runs = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private final List<String> leaving = new ArrayList<>();
    private final Engine entry = Engines.create(net, "entry", 1, clock, Quarantine.standalone(clock));
    private int started;
    private UpstreamNotice notice = UpstreamNotice.NONE;

    UpstreamNoticeTest() {
        clock.advance(MILLI);
    }

    @Test
    void holdsALimitForFilingsWithAKey() {
        route(start(2, START));
        notice = limit(0);
        send("key-1");
        send("key-2");
        assertEquals(1, runs.size());
        assertTrue(outcomes.getLast().startsWith("refused NOT_RUN UPSTREAM_LIMITED"), outcomes.toString());
    }

    @Test
    void holdsALimitWhenTheSameStartIsAttachedAgain() {
        Engine server = start(2, START);
        route(server);
        notice = limit(0);
        send("");
        attach(server, START);
        send("");
        assertEquals(1, runs.size());
        attach(server, START + 1);
        send("");
        assertEquals(2, runs.size());
    }

    @Test
    void aStartThatIsLeavingStaysDrainedWhenItIsAttachedAgain() {
        Engine server = start(2, START);
        route(server);
        notice = LEAVING;
        send("");
        assertEquals(List.of("leaving"), leaving);
        LocalUpstream again = attach(server, START);
        again.resume(DrainCause.LEAVING);
        assertTrue(again.draining());
        assertTrue(again.withId("renamed").draining());
        assertFalse(attach(server, START + 1).draining());
    }

    @Test
    void aRestartedNodeLearnsFromTheNextCallThatItsUpstreamIsLeaving() {
        route(start(2, START));
        notice = LEAVING;
        send("");
        assertEquals(List.of(SERVER), runs);
        net.crash(SERVER);
        clock.advance(100 * MILLI);
        route(start(3, START));
        notice = UpstreamNotice.NONE;
        send("");
        assertEquals(List.of(SERVER), runs);
        assertTrue(outcomes.getLast().startsWith("refused NOT_RUN"), outcomes.toString());
    }

    @Test
    void aRestartedNodeLearnsALimitFromTheNextCallAndForgetsItOnceItsUpstreamNamesNone() {
        route(start(2, START));
        notice = limit(0);
        send("");
        net.crash(SERVER);
        clock.advance(100 * MILLI);
        route(start(3, START));
        notice = UpstreamNotice.NONE;
        send("");
        assertEquals(1, runs.size());
        clock.advance(2_000 * MILLI);
        send("");
        send("");
        assertEquals(3, runs.size());
    }

    @Test
    void anotherStartBesideARestartedNodeIsNotHeldToWhatTheOneBeforeStated() {
        route(start(2, START));
        notice = LEAVING;
        send("");
        net.crash(SERVER);
        clock.advance(100 * MILLI);
        notice = UpstreamNotice.NONE;
        route(start(3, START + 1));
        send("");
        assertEquals(2, runs.size());
    }

    private static UpstreamNotice limit(double perSecond) {
        return new UpstreamNotice(new RateNotice.Limit(perSecond), false);
    }

    private Engine start(long incarnation, long upstreamStart) {
        started++;
        Engine engine = Engines.create(net, SERVER.host(), incarnation, clock, Quarantine.standalone(clock));
        attach(engine, upstreamStart);
        net.listen(SERVER, engine::accept);
        return engine;
    }

    private LocalUpstream attach(Engine engine, long upstreamStart) {
        String id = SERVER.host() + "@" + started;
        UpstreamPort port = (handOver, listener) -> {
            runs.add(SERVER);
            listener.notice(notice);
            listener.head(200, List.of());
            listener.end();
            return new Engines.Silent();
        };
        return engine.attach(
                new Attachment(id, "s", port, upstreamStart, () -> leaving.add("leaving")), FixedLimit.of(100));
    }

    /** Routes to the upstream, under a new id when its node has restarted, of which the entry node knows nothing. */
    private void route(Engine server) {
        entry.router()
                .update(List.of(
                        new Upstream(server.server().upstream().orElseThrow().id(), "s", SERVER, Engines.LOCATION)));
    }

    private void send(String key) {
        Message.Content content = new Message.Content(key.isEmpty() ? "GET" : "POST", "/p", List.of(), new byte[0]);
        entry.submit(new InboundRequest("s", content, key, Optional.of(10_000 * MILLI)), new RecordingSink(outcomes));
    }
}
