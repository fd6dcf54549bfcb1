package org.verbenadyke.kernel.quota;

import java.util.function.DoubleUnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against surplus that is reported of teams without a surge, and against a surge that is not reported. */
final class DemandSurplusTest {
    private static final long TICK = 50 * QuotaFleet.MILLI;

    private final DemandSurplus surplus = DemandSurplus.startingAt(0);
    private long now;
    private double due;

    @Test
    void aSteadyTeamHasNone() {
        assertEquals(0, largestShare(120, t -> 40));
    }

    @Test
    void aTeamThatDoublesInAMinuteHasNone() {
        largestShare(60, t -> 40);
        assertEquals(0, largestShare(120, t -> 40 * Math.pow(2, t / 60)));
    }

    @Test
    void aBurstHasMostOfIt() {
        largestShare(60, t -> 40);
        double share = largestShare(3, t -> 240);
        assertTrue(share > 0.45 && share <= DemandSurplus.MAX_SHARE, "share " + share);
        largestShare(3, t -> 40);
        assertEquals(0, surplus.share(now), "after the burst");
    }

    @Test
    void theShareIsBounded() {
        largestShare(60, t -> 40);
        assertEquals(0.7, largestShare(2, t -> 4_000));
    }

    @Test
    void aLastingIncreaseBecomesUsual() {
        largestShare(60, t -> 40);
        largestShare(25, t -> 240);
        assertEquals(0, surplus.share(now));
    }

    @Test
    void aNewTeamHasNoneAndNeitherHasOneThatComesBack() {
        assertEquals(0, largestShare(4.9, t -> t < 3 ? 2 : 240), "new, and rising at once");
        largestShare(60, t -> 40);
        now += 40 * QuotaFleet.SECOND;
        assertEquals(0, largestShare(4.9, t -> t < 3 ? 2 : 240), "after 40 s without demand");
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 14, 25})
    void aSteadyTeamThatWasNotSeenForAWhileHasNone(int seconds) {
        largestShare(60, t -> 40);
        now += seconds * QuotaFleet.SECOND;
        assertEquals(0, largestShare(20, t -> 40));
    }

    @Test
    void aSmallTeamThatVariesHasNone() {
        largestShare(60, t -> 1);
        assertEquals(0, largestShare(5, t -> 6));
    }

    /** Records demand at a rate that depends on the seconds since the call, and returns the largest share seen. */
    private double largestShare(double seconds, DoubleUnaryOperator perSecond) {
        double largest = 0;
        long begin = now;
        while (now - begin < seconds * QuotaFleet.SECOND) {
            now += TICK;
            due += perSecond.applyAsDouble((double) (now - begin) / QuotaFleet.SECOND) * TICK / QuotaFleet.SECOND;
            surplus.record((int) due, 1, now);
            due -= (int) due;
            largest = Math.max(largest, surplus.share(now));
        }
        return largest;
    }
}
