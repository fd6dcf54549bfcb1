package org.verbenadyke.kernel.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.dispatch.CallHandle;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.route.RequestKind;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.route.ServiceShare;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.Attachment;
import org.verbenadyke.kernel.serve.LocalUpstream;
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
    private final List<Served> served = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private boolean usageRequested = true;

    ChainUsageTest() {
        clock.advance(MILLI);
        Engine front1 = start("front", 2);
        Engine front2 = start("front", 3);
        Engine deep1 = start("deep", 4);
        Engine deep2 = start("deep", 5);
        Engine base = start("base", 6);
        route(entry, front1, front2);
        List.of(front1, front2).forEach(front -> route(front, deep1, deep2));
        List.of(deep1, deep2).forEach(deep -> route(deep, base));
    }

    @Test
    void addsUpNestedAndRepeatedCalls() {
        repeat(() -> {
            Served front = enter();
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
        assertCosts(64, 54, 40);
    }

    @Test
    void addsUpParallelCalls() {
        repeat(() -> {
            Served front = enter();
            Served first = front.call("deep");
            Served second = front.call("deep");
            work(20);
            second.answer(OK);
            work(10);
            first.answer(OK);
            front.answer(OK);
        });
        assertCosts(30, 50, 0);
    }

    @Test
    void countsTheSlotTimeOfAFailedAttemptWhereItWasUsed() {
        repeat(() -> {
            Served front = enter();
            Served deep = front.call("deep");
            Served base = deep.call("base");
            work(7);
            base.answer(OK);
            work(20);
            deep.answer(FAILED);
            Served retried = last("deep");
            work(30);
            retried.answer(OK);
            front.answer(OK);
        });
        assertCosts(57, 57, 7);
    }

    @Test
    void countsTheSlotTimeOfAnAttemptThatBrokeOff() {
        repeat(() -> {
            Served front = enter();
            Served deep = front.call("deep");
            work(20);
            deep.listener.broken();
            Served retried = last("deep");
            work(30);
            retried.answer(OK);
            front.answer(OK);
        });
        assertCosts(50, 50, 0);
    }

    @Test
    void countsAnAttemptThatTheEntryRetried() {
        repeat(() -> {
            Served front = enter();
            work(20);
            front.answer(FAILED);
            Served retried = last("front");
            work(30);
            retried.answer(OK);
        });
        assertCosts(50, 0, 0);
    }

    /** The report is sent with the head of the answer, so that later calls can't be part of it. */
    @Test
    void ignoresACallThatIsAnsweredAfterTheAnswerOfItsCaller() {
        repeat(() -> {
            Served front = enter();
            Served deep = front.call("deep");
            work(10);
            front.answer(OK);
            work(10);
            deep.answer(OK);
        });
        assertCosts(10, 0, 0);
    }

    /** The slot is held until the end of the body, which depends on how fast the caller reads. */
    @Test
    void countsOnlyTheTimeToTheHead() {
        repeat(() -> {
            Served front = enter();
            work(10);
            front.listener.head(OK, List.of());
            work(50);
            front.listener.end();
        });
        assertCosts(10, 0, 0);
    }

    @Test
    void recordsNoFailedRefusedAbortedOrAbandonedRequest() {
        repeat(() -> {
            enter().answer(FAILED);
            last("front").answer(FAILED);
        });
        repeat(() -> enter().listener.notRun());
        repeat(() -> {
            Served front = enter();
            front.listener.head(OK, List.of());
            front.listener.broken();
        });
        repeat(() -> {
            CallHandle handle = submit();
            work(10);
            handle.cancel();
        });
        assertEquals(OptionalDouble.empty(), cost("front"));
        assertTrue(outcomes.contains("head 500") && outcomes.contains("aborted"), outcomes.toString());
    }

    @Test
    void learnsNothingUnlessUsageIsRequested() {
        usageRequested = false;
        repeat(() -> {
            Served front = enter();
            Served deep = front.call("deep");
            assertFalse(deep.engine
                    .server()
                    .context(deep.handOver.contextToken())
                    .orElseThrow()
                    .collectsUsage());
            work(10);
            deep.answer(OK);
            front.answer(OK);
        });
        assertEquals(OptionalDouble.empty(), cost("front"));
    }

    private void assertCosts(long frontMillis, long deepMillis, long baseMillis) {
        assertEquals(frontMillis * MILLI, cost("front").orElseThrow(), 1);
        assertEquals(deepMillis * MILLI, cost("deep").orElseThrow(), 1);
        assertEquals(baseMillis * MILLI, cost("base").orElseThrow(), 1);
    }

    private OptionalDouble cost(String service) {
        return entry.costs().slotNanos("front", "GET /p", service, clock.nanos());
    }

    private static void repeat(Runnable request) {
        for (int i = 0; i < ANSWERS; i++) {
            request.run();
        }
    }

    private void work(long millis) {
        clock.advance(millis * MILLI);
    }

    private Served enter() {
        submit();
        return last("front");
    }

    private CallHandle submit() {
        List<ServiceShare> shares = List.of(new ServiceShare("front", 1));
        Route route = new Route("r", "", "/p/", shares, RequestKind.IDEMPOTENT, TTL_NANOS, TTL_NANOS, 2, 0, true);
        RoutedRequest routed = new RoutedRequest(
                route,
                "front",
                content(),
                Optional.empty(),
                Importance.NORMAL,
                Optional.empty(),
                TTL_NANOS,
                0,
                usageRequested);
        return entry.submit(routed, new RecordingSink(outcomes));
    }

    private static Message.Content content() {
        return new Message.Content("GET", "/p/x", List.of(), new byte[0]);
    }

    private Served last(String service) {
        return served.reversed().stream()
                .filter(s ->
                        s.engine.server().upstream().orElseThrow().service().equals(service))
                .findFirst()
                .orElseThrow();
    }

    private Engine start(String service, int incarnation) {
        Endpoint endpoint = endpoint(incarnation);
        Engine engine = Engines.create(net, endpoint.host(), incarnation, clock, Quarantine.standalone(clock));
        UpstreamPort port = (handOver, listener) -> {
            served.add(new Served(engine, handOver, listener));
            return new Engines.Silent();
        };
        engine.attach(new Attachment(endpoint.host(), service, port, incarnation, () -> {}), FixedLimit.of(100));
        net.listen(endpoint, engine::accept);
        return engine;
    }

    private static Endpoint endpoint(int number) {
        return new Endpoint("10.0.0." + number, 1);
    }

    private static void route(Engine from, Engine... to) {
        List<Upstream> upstreams = new ArrayList<>();
        for (Engine engine : to) {
            LocalUpstream u = engine.server().upstream().orElseThrow();
            upstreams.add(new Upstream(u.id(), u.service(), new Endpoint(u.id(), 1), Engines.LOCATION));
        }
        from.router().update(upstreams);
    }

    /** A call that an upstream serves; the test makes its nested calls and answers it. */
    private final class Served {
        private final Engine engine;
        private final UpstreamPort.HandOver handOver;
        private final UpstreamPort.Listener listener;

        private Served(Engine engine, UpstreamPort.HandOver handOver, UpstreamPort.Listener listener) {
            this.engine = engine;
            this.handOver = handOver;
            this.listener = listener;
        }

        Served call(String service) {
            InboundRequest nested = new InboundRequest(service, content(), "", Optional.of(TTL_NANOS));
            engine.submitNested(handOver.contextToken(), nested, new RecordingSink(new ArrayList<>()));
            return last(service);
        }

        void answer(int status) {
            listener.head(status, List.of());
            listener.end();
        }
    }
}
