package org.verbenadyke.kernel.follow;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against plans that count as current without an answer of the store that shows it. */
final class PlanCurrencyTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final RoutePlanStore plans = VersionedPlans.at(5);
    private final PlanCurrency currency = PlanCurrency.of(clock, plans, SECOND);

    @Test
    void isNeverCurrentBeforeTheFirstAnswer() {
        assertEquals(PlanCurrency.NEVER_MILLIS, currency.ageMillis());
        assertFalse(currency.status().current());
    }

    @Test
    void countsFromTheTimeOfTheAnswer() {
        clock.advance(SECOND);
        currency.confirmed(clock.nanos() - 200 * MILLI);
        clock.advance(100 * MILLI);
        assertEquals(300, currency.ageMillis());
        assertTrue(currency.status().current());
    }

    @Test
    void isCurrentUpToTheBound() {
        currency.confirmed(clock.nanos());
        clock.advance(SECOND);
        assertTrue(currency.status().current());
        clock.advance(MILLI);
        assertFalse(currency.status().current());
    }

    @Test
    void takesOverWhatAPeerWithTheSameOrAnOlderVersionKnows() {
        currency.heard(5, 400);
        assertEquals(400, currency.ageMillis());
        currency.heard(4, 100);
        assertEquals(100, currency.ageMillis());
        currency.heard(5, 900);
        assertEquals(100, currency.ageMillis());
    }

    @Test
    void isOutdatedWhileAPeerHasANewerVersion() {
        currency.heard(5, 400);
        currency.heard(6, 0);
        clock.advance(100 * MILLI);
        assertEquals(500, currency.ageMillis());
        assertFalse(currency.status().current());
        plans.offer(VersionedPlans.document(6), "peer");
        assertEquals(100, currency.ageMillis());
        assertTrue(currency.status().current());
    }

    /** Messages that waited while the process was paused tell of a time long ago. */
    @Test
    void countsMessagesThatWaitedThroughAPauseAsOld() {
        currency.tick();
        clock.advance(5 * SECOND);
        currency.heard(5, 0);
        assertEquals(5_000, currency.ageMillis());
        currency.tick();
        currency.heard(5, 0);
        assertEquals(5_000, currency.ageMillis());
        clock.advance(100 * MILLI);
        currency.tick();
        currency.heard(5, 0);
        assertEquals(5_100, currency.ageMillis());
    }

    @Test
    void countsMessagesAgainSoonAfterAPause() {
        clock.advance(5 * SECOND);
        for (int i = 0; i < 6; i++) {
            currency.tick();
            clock.advance(100 * MILLI);
        }
        currency.tick();
        currency.heard(5, 50);
        assertEquals(50, currency.ageMillis());
    }

    @Test
    void ignoresAnAnswerThatLacksWhatAPeerHas() {
        currency.heard(6, 0);
        clock.advance(SECOND);
        currency.confirmed(clock.nanos());
        assertEquals(PlanCurrency.NEVER_MILLIS, currency.ageMillis());
    }

    /** The last peers that had a version may be gone, and the store may have lost it. */
    @Test
    void forgetsAVersionThatNobodyTellsOfAnyMore() {
        currency.heard(6, 0);
        clock.advance(11 * SECOND);
        currency.confirmed(clock.nanos());
        assertTrue(currency.status().current());
    }
}
