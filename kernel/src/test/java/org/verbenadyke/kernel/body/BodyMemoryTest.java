package org.verbenadyke.kernel.body;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.route.RequestKind;
import org.verbenadyke.kernel.route.RequestLimits;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link BodyMemory}. */
final class BodyMemoryTest {
    private static final long MILLI = 1_000_000L;
    private static final long LIMIT = BodyMemory.MIN_BYTES;
    private static final long SMALL = BodyMemory.MAX_UNCOUNTED_BYTES;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<String> notified = new ArrayList<>();
    private Optional<RoutePlan> plan = Optional.of(plan(RequestKind.UPLOAD));
    private final BodyMemory memory = BodyMemory.of(LIMIT, clock, () -> plan, () -> new SplittableRandom(1));

    @Test
    void refusesARequestThatWaitsLongerThanAnEighthOfTheTightestUploadTarget() {
        reserve("a");
        reserve("b");
        clock.advance(99 * MILLI);
        assertEquals(1, memory.waiting());
        clock.advance(2 * MILLI);
        assertEquals(List.of("b refused"), notified);
        assertEquals(0, memory.waiting());
        long retryAfterMillis = memory.retryAfterMillis();
        assertTrue(retryAfterMillis >= 200 && retryAfterMillis <= 600, "Retry-After " + retryAfterMillis);
    }

    @Test
    void aGrantedRequestIsNotRefusedLater() {
        BodyReservation a = reserve("a");
        reserve("b");
        a.release();
        clock.advance(1_000 * MILLI);
        assertEquals(List.of("b granted"), notified);
        assertEquals(LIMIT, memory.enteringBytes());
    }

    /** Important requests with small bodies must not wait behind uploads. */
    @Test
    void countsNoSmallBodies() {
        reserve("a");
        assertTrue(memory.reserve(SMALL, listener("small")).granted());
        assertEquals(LIMIT, memory.enteringBytes());
    }

    /** A node may call the upstream beside it, so that entering requests must leave memory for calls. */
    @Test
    void calledNodesRefuseWhatDoesNotFitAndEnteringRequestsTakeNothingFromCalls() {
        reserve("a");
        Optional<BodyReservation> call = memory.reserveCall(LIMIT);
        assertTrue(call.isPresent());
        assertFalse(memory.reserveCall(SMALL + 1).isPresent());
        assertTrue(memory.reserveCall(SMALL).isPresent());
        call.get().release();
        assertEquals(0, memory.callBytes());
    }

    /** Filings of other routes have bodies as large, and fill the same heap. */
    @Test
    void limitsBodiesWithoutUploadRoutes() {
        for (Optional<RoutePlan> without :
                List.of(Optional.of(plan(RequestKind.NON_IDEMPOTENT)), Optional.<RoutePlan>empty())) {
            plan = without;
            BodyReservation entering = reserve("a");
            assertTrue(entering.granted());
            assertFalse(reserve("b").granted());
            Optional<BodyReservation> call = memory.reserveCall(LIMIT);
            assertTrue(call.isPresent());
            for (int i = 0; i < 10; i++) {
                assertTrue(memory.reserveCall(LIMIT).isEmpty());
            }
            assertEquals(2 * LIMIT, memory.enteringBytes() + memory.callBytes());
            clock.advance(1_000 * MILLI);
            assertEquals(List.of("b refused"), notified);
            assertTrue(memory.retryAfterMillis() >= BodyMemory.MIN_RETRY_AFTER_MILLIS);
            notified.clear();
            entering.release();
            call.get().release();
            assertEquals(0, memory.enteringBytes() + memory.callBytes());
        }
    }

    @Test
    void countsNothingWithoutALimit() {
        assertFalse(BodyMemory.unlimited(clock).counts(LIMIT));
    }

    /** A route without a usable target must neither end every wait at once nor drop the Retry-After delay. */
    @Test
    void ignoresTargetsThatAreNotPositive() {
        plan = Optional.of(planOf(route("a", RequestKind.UPLOAD, 0), route("b", RequestKind.UPLOAD, 800 * MILLI)));
        reserve("a");
        reserve("b");
        clock.advance(99 * MILLI);
        assertEquals(List.of(), notified);
        assertTrue(memory.retryAfterMillis() >= 200);
    }

    @Test
    void limitsBodiesAndWaitsWhenNoUploadRouteHasATarget() {
        plan = Optional.of(planOf(route("a", RequestKind.UPLOAD, 0)));
        reserve("a");
        reserve("b");
        clock.advance(MILLI);
        assertEquals(1, memory.waiting());
        clock.advance(1_000 * MILLI);
        assertEquals(List.of("b refused"), notified);
    }

    /** Callers that get no delay would all come back at once. */
    @Test
    void namesADelayForTinyTargetsAndAfterTheLastUploadRouteIsGone() {
        plan = Optional.of(planOf(route("a", RequestKind.UPLOAD, 1)));
        assertTrue(memory.retryAfterMillis() >= BodyMemory.MIN_RETRY_AFTER_MILLIS);
        plan = Optional.of(plan(RequestKind.NON_IDEMPOTENT));
        assertTrue(memory.retryAfterMillis() >= BodyMemory.MIN_RETRY_AFTER_MILLIS);
    }

    private BodyReservation reserve(String name) {
        return memory.reserve(LIMIT, listener(name));
    }

    private BodyMemory.Listener listener(String name) {
        return new BodyMemory.Listener() {
            @Override
            public void granted() {
                notified.add(name + " granted");
            }

            @Override
            public void refused() {
                notified.add(name + " refused");
            }
        };
    }

    private static RoutePlan plan(RequestKind kind) {
        return planOf(
                route("a", RequestKind.IDEMPOTENT, 80 * MILLI),
                route("b", kind, 800 * MILLI),
                route("c", kind, 1_600 * MILLI));
    }

    private static RoutePlan planOf(Route... routes) {
        return RoutePlan.of(1, List.of(routes), List.of(), RequestLimits.standard());
    }

    private static Route route(String name, RequestKind kind, long targetNanos) {
        return new Route(name, "h", "/" + name + "/", List.of(), kind, 2_000 * MILLI, targetNanos, 2, 1, true);
    }
}
