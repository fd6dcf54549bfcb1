package org.verbenadyke.kernel.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenadyke.kernel.notice.AnnouncedRate;
import org.verbenadyke.kernel.notice.RateNotice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link UpstreamRateLimit}. */
final class UpstreamRateLimitTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long WINDOW_NANOS = 4 * SECOND;

    private final AnnouncedRate announced = AnnouncedRate.unlimited();
    private final UpstreamRateLimit limit = UpstreamRateLimit.following(announced, 0);

    @Test
    void givesATokenToEveryCallWithoutALimit() {
        for (int i = 0; i < 1_000; i++) {
            assertTrue(limit.tryTake(0));
        }
    }

    /** The users allow 1.5 times the limit and 5 more in any 4 s; bursts must not add up beyond that. */
    @ParameterizedTest
    @CsvSource({"0, 30", "0.3, 30", "2, 60", "44.9, 60", "10000, 10"})
    void staysBelowTheBoundInEveryWindow(double perSecond, long seconds) {
        name(perSecond, 0);
        SplittableRandom random = new SplittableRandom(7);
        double demand = Math.max(10, 3 * perSecond);
        Deque<Long> taken = new ArrayDeque<>();
        long total = 0;
        int most = 0;
        for (long now = 0; now < seconds * SECOND; now += gap(random, demand, now)) {
            if (!limit.tryTake(now)) {
                continue;
            }
            total++;
            taken.add(now);
            while (taken.getFirst() <= now - WINDOW_NANOS) {
                taken.removeFirst();
            }
            most = Math.max(most, taken.size());
        }
        assertTrue(most <= 1.5 * 4 * perSecond + 5, most + " in 4 s");
        assertTrue(total >= 0.95 * perSecond * seconds - 1, total + " of " + perSecond * seconds);
    }

    @Test
    void beginsEmptyWhenALimitIsNamed() {
        name(100, SECOND);
        assertFalse(limit.tryTake(SECOND));
        assertTrue(limit.tryTake(SECOND + SECOND / 50));
    }

    @Test
    void beginsEmptyWhenALimitIsNamedAgain() {
        name(100, 0);
        assertTrue(limit.tryTake(SECOND));
        announced.received(new RateNotice.None(), SECOND, SECOND);
        assertTrue(limit.tryTake(2 * SECOND));
        name(100, 3 * SECOND);
        assertFalse(limit.tryTake(3 * SECOND));
    }

    /** A gate is made anew when its upstream was lost and found again; each must not begin with a burst. */
    @Test
    void beginsEmptyForAnUpstreamThatHasNamedALimitBefore() {
        name(100, 0);
        UpstreamRateLimit next = UpstreamRateLimit.following(announced, 30 * SECOND);
        assertFalse(next.tryTake(30 * SECOND));
        assertTrue(next.tryTake(30 * SECOND + SECOND / 50));
    }

    @Test
    void aCallWithAnEarlierTimeChangesNothing() {
        name(100, 0);
        assertTrue(limit.tryTake(SECOND));
        limit.tryTake(SECOND / 2);
        assertEquals(0, limit.waitNanos(SECOND));
    }

    @Test
    void losesTheBurstOfAHigherLimitWhenItIsLowered() {
        name(300, 0);
        assertTrue(limit.tryTake(SECOND));
        name(10, SECOND);
        int taken = 0;
        while (taken < 100 && limit.tryTake(SECOND)) {
            taken++;
        }
        assertEquals(10, taken);
    }

    @Test
    void stillGivesATokenNowAndThenAtALimitOfZero() {
        name(0, 0);
        assertFalse(limit.tryTake(SECOND));
        assertEquals(SECOND, limit.waitNanos(SECOND));
        assertTrue(limit.tryTake(2 * SECOND));
    }

    @Test
    void takesBackATokenThatWasNotUsed() {
        name(1, 0);
        assertTrue(limit.tryTake(SECOND));
        assertFalse(limit.tryTake(SECOND));
        limit.putBack();
        assertTrue(limit.tryTake(SECOND));
    }

    private void name(double perSecond, long nowNanos) {
        announced.received(new RateNotice.Limit(perSecond), nowNanos, nowNanos);
    }

    /** Draws gaps of a demand that is twice as high in each first second of five. */
    private static long gap(SplittableRandom random, double perSecond, long now) {
        double rate = now / SECOND % 5 == 0 ? 2 * perSecond : perSecond;
        return Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * SECOND / rate));
    }
}
