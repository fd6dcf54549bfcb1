package org.verbenadyke.kernel.admission;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.notice.AnnouncedRate;
import org.verbenadyke.kernel.notice.RateNotice;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests a {@link Gate} to an upstream that names a rate limit. */
final class RateLimitedGateTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final GateSettings SETTINGS = new GateSettings(true, 2, 8, 20 * MILLI, QueueOrder.DUE);

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final AnnouncedRate announced = AnnouncedRate.unlimited();
    private final Gate gate = Gate.of(SETTINGS, FixedLimit.of(100), announced, clock, () -> false);
    private final List<String> log = new ArrayList<>();

    RateLimitedGateTest() {
        clock.advance(SECOND);
    }

    @Test
    void admitsAWaitingCallWhenTheRateAllowsIt() {
        limit(100);
        offer("a", Importance.LOW);
        offer("b", Importance.LOW);
        clock.advance(11 * MILLI);
        assertEquals(List.of("a admitted"), log);
        clock.advance(10 * MILLI);
        assertEquals(List.of("a admitted", "b admitted"), log);
    }

    @Test
    void refusesTheLeastImportantOfTheCallsThatWouldWaitTooLong() {
        limit(40);
        offer("low", Importance.LOW);
        offer("normal", Importance.NORMAL);
        offer("high", Importance.HIGH);
        assertEquals(List.of("low UPSTREAM_LIMITED"), log);
        clock.advance(60 * MILLI);
        assertEquals(List.of("low UPSTREAM_LIMITED", "high admitted", "normal admitted"), log);
    }

    @Test
    void letsNoCallWaitForARateBelowOneInTheTimeThatItMayWait() {
        limit(2);
        offer("a", Importance.HIGH);
        assertEquals(List.of("a UPSTREAM_LIMITED"), log);
        assertEquals(0, gate.queued());
        clock.advance(SECOND / 2);
        offer("b", Importance.HIGH);
        assertEquals("b admitted", log.getLast());
    }

    @Test
    void admitsTheWaitingCallsWhenTheLimitEnds() {
        limit(20);
        offer("a", Importance.LOW);
        announced.received(new RateNotice.None(), clock.nanos(), clock.nanos());
        gate.limitsChanged(clock.nanos());
        assertEquals(List.of("a admitted"), log);
    }

    @Test
    void aCallThatIsNotHandedOverUsesUpNothing() {
        limit(20);
        clock.advance(60 * MILLI);
        offer("a", Importance.LOW);
        gate.releaseUnused(clock.nanos(), 0);
        offer("b", Importance.LOW);
        assertEquals(List.of("a admitted", "b admitted"), log);
    }

    /** Calling nodes hear the level and refuse less important requests before any work is done for them. */
    @Test
    void raisesTheLevelWhenMoreArrivesThanTheUpstreamAccepts() {
        limit(40);
        for (int i = 0; i < 200; i++) {
            offer("c" + i, Importance.LOW);
            clock.advance(5 * MILLI);
            if (i % 10 == 9) {
                gate.endWindow();
            }
        }
        assertTrue(gate.level() > 0);
        assertEquals(gate.level(), gate.directLevel());
    }

    /** The level falls within seconds otherwise, while nothing limits the upstream any more. */
    @Test
    void admitsEverythingAgainOnceTheLimitEnds() {
        limit(0);
        for (int i = 0; i < 400; i++) {
            offer("c" + i, Importance.LOW);
            clock.advance(5 * MILLI);
            if (i % 10 == 9) {
                gate.endWindow();
            }
        }
        announced.received(new RateNotice.None(), clock.nanos(), clock.nanos());
        gate.limitsChanged(clock.nanos());
        gate.endWindow();
        assertEquals(0, gate.level());
    }

    private void limit(double perSecond) {
        announced.received(new RateNotice.Limit(perSecond), clock.nanos(), clock.nanos());
        gate.limitsChanged(clock.nanos());
    }

    private void offer(String name, Importance importance) {
        gate.offer(new RecordedCall(log, name, importance, 0, Long.MAX_VALUE), clock.nanos());
    }
}
