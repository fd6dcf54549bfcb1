package org.verbenadyke.kernel.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.dispatch.CallHandle;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.Attachment;
import org.verbenadyke.kernel.serve.CallContext;
import org.verbenadyke.kernel.serve.UpstreamPort;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that the entry node learns the slot time of whole chains, also of attempts that failed and were retried. */
final class ChainUsageTest {
    private static final long MILLI = 1_000_000L;
    private static final long TTL_NANOS = 10_000 * MILLI;
    private static final int OK = 200;
    private static final int FAILED = 500;

    /** Answers after which a cost is known. */
    private static final int ANSWERS = 8;

    private final MemoryNet net = new MemoryNet();
    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Engine entry = Engines.create(net, "entry", 1, clock, Quarantine.standalone(clock));
    private final Map<String, Served> last = new HashMap<>();
    private final List<String> outcomes = new ArrayList<>();
    private boolean usageRequested = true;

    ChainUsageTest() {
        clock.advance(MILLI);
        List<Engine> fronts = List.of(start("front", 2), start("front", 3));
        List<Engine> deep = List.of(start("deep", 4), start("deep", 5));
        List<Engine> base = List.of(start("base", 6));
        route(entry, fronts);
        fronts.forEach(from -> route(from, deep));
        deep.forEach(from -> route(from, base));
    }

    @Test
    void addsUpNestedAndRepeatedCalls() {
        assertCosts(64, 54, 40, front -> {
            work(10);
            for (int i = 0; i < 2; i++) {
                Served deep = front.call("deep");
                work(3);
                Served base = deep.call("base");
                work(20);
                base.answer(OK);
                work(4);
                deep.answer(OK);
            }
            front.answer(OK);
        });
    }

    @Test
    void addsUpParallelCalls() {
        assertCosts(30, 50, 0, front -> {
            Served first = front.call("deep");
            Served second = front.call("deep");
            work(20);
            second.answer(OK);
            work(10);
            first.answer(OK);
            front.answer(OK);
        });
    }

    @Test
    void countsAFailedAttemptWhereItWasUsed() {
        for (Consumer<Served> failure : List.<Consumer<Served>>of(s -> s.answer(FAILED), s -> s.listener.broken())) {
            assertCosts(57, 57, 7, front -> {
                Served deep = front.call("deep");
                Served base = deep.call("base");
                work(7);
                base.answer(OK);
                work(20);
                failure.accept(deep);
                work(30);
                last.get("deep").answer(OK);
                front.answer(OK);
            });
        }
    }

    @Test
    void countsAnAttemptThatTheEntryRetried() {
        assertCosts(50, 0, 0, front -> {
            work(20);
            front.answer(FAILED);
            work(30);
            last.get("front").answer(OK);
        });
    }

    /** The report is sent with the head of the answer, so that later calls can't be part of it. */
    @Test
    void ignoresACallThatIsAnsweredAfterTheAnswerOfItsCaller() {
        assertCosts(10, 0, 0, front -> {
            Served deep = front.call("deep");
            work(10);
            front.answer(OK);
            work(10);
            deep.answer(OK);
        });
    }

    /** Both the head and the refusal that follows it report the slot time, which ends at the head. */
    @Test
    void countsACallThatBreaksOffAfterItsHeadOnce() {
        assertCosts(60, 10, 0, front -> {
            Served deep = front.call("deep");
            work(10);
            deep.listener.head(OK, List.of());
            work(50);
            deep.listener.broken();
            front.answer(OK);
        });
    }

    @Test
    void recordsNoFailedRefusedAbortedOrAbandonedRequest() {
        repeat(front -> {
            front.answer(FAILED);
            last.get("front").answer(FAILED);
        });
        repeat(front -> front.listener.notRun());
        repeat(front -> {
            front.listener.head(OK, List.of());
            front.listener.broken();
        });
        for (int i = 0; i < ANSWERS; i++) {
            submit().cancel();
        }
        assertEquals(OptionalDouble.empty(), cost("front"));
        assertTrue(outcomes.contains("head 500") && outcomes.contains("aborted"), outcomes.toString());
    }

    @Test
    void requestsAndLearnsNothingByDefault() {
        usageRequested = false;
        repeat(front -> {
            Served deep = front.call("deep");
            assertFalse(deep.context().collectsUsage());
            work(10);
            deep.answer(OK);
            front.answer(OK);
        });
        assertEquals(OptionalDouble.empty(), cost("front"));
    }

    private void assertCosts(long frontMillis, long deepMillis, long baseMillis, Consumer<Served> upstream) {
        repeat(upstream);
        assertEquals(frontMillis * MILLI, cost("front").orElseThrow(), 1);
        assertEquals(deepMillis * MILLI, cost("deep").orElseThrow(), 1);
        assertEquals(baseMillis * MILLI, cost("base").orElseThrow(), 1);
    }

    private OptionalDouble cost(String service) {
        return entry.costs().slotNanos("front", "GET /p", service, clock.nanos());
    }

    /** Sends as many requests as a cost takes to be known, and lets the upstream of each one act. */
    private void repeat(Consumer<Served> upstream) {
        for (int i = 0; i < ANSWERS; i++) {
            submit();
            upstream.accept(last.get("front"));
        }
    }

    private void work(long millis) {
        clock.advance(millis * MILLI);
    }

    private CallHandle submit() {
        RoutedRequest routed = Engines.request("front", TTL_NANOS, 2, 0).withUsageRequested(usageRequested);
        return entry.submit(routed, new RecordingSink(outcomes));
    }

    private Engine start(String service, int number) {
        Endpoint endpoint = new Endpoint("10.0.0." + number, 1);
        Engine engine = Engines.create(net, endpoint.host(), number, clock, Quarantine.standalone(clock));
        UpstreamPort port = (handOver, listener) -> {
            last.put(service, new Served(last, engine, handOver, listener));
            return new Engines.Silent();
        };
        engine.attach(new Attachment(endpoint.host(), service, port, number, () -> {}), FixedLimit.of(100));
        net.listen(endpoint, engine::accept);
        return engine;
    }

    private static void route(Engine from, List<Engine> to) {
        from.router()
                .update(to.stream()
                        .map(engine -> engine.server().upstream().orElseThrow())
                        .map(u -> new Upstream(u.id(), u.service(), new Endpoint(u.id(), 1), Engines.LOCATION))
                        .toList());
    }

    /** A call that an upstream serves; the test makes its nested calls and answers it. */
    private record Served(
            Map<String, Served> last, Engine engine, UpstreamPort.HandOver handOver, UpstreamPort.Listener listener) {
        CallContext context() {
            return engine.server().context(handOver.contextToken()).orElseThrow();
        }

        Served call(String service) {
            InboundRequest nested = new InboundRequest(service, Engines.CONTENT, "", Optional.of(TTL_NANOS));
            engine.submitNested(handOver.contextToken(), nested, new RecordingSink(new ArrayList<>()));
            return last.get(service);
        }

        void answer(int status) {
            listener.head(status, List.of());
            listener.end();
        }
    }
}
