package org.verbenadyke.kernel.admission;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the choice of the band that is refused. */
final class LoadLevelTest {
    private static final int CALLS = 200;
    private static final int NORMAL = Importance.NORMAL.ordinal() * RequestId.BUCKETS;

    /** Three times what the slots can do. */
    private static final GateLoad OVERLOAD = new GateLoad(10, 10, 100, 40_000_000L, 0, Double.POSITIVE_INFINITY);

    /** An empty band that is closed over several periods would delay the relief of the next one. */
    @ParameterizedTest
    @CsvSource({"true, 0, true", "true, 1, false", "false, 0, false"})
    void skipsABandWithoutArrivalsAtOnce(boolean skips, int lowCalls, boolean refusesNormal) {
        LoadLevel level = LoadLevel.open(() -> skips);
        arrive(level, Importance.LOW, lowCalls);
        arrive(level, Importance.NORMAL, CALLS);
        endPeriod(level);
        assertEquals(refusesNormal, level.current() > NORMAL, "level " + level.current());
    }

    /** A band of few calls would be closed for seconds after a period in which none of them arrived. */
    @ParameterizedTest
    @CsvSource({"149, false", "150, true"})
    void skipsNoBandThatMayHaveCalls(int arrivals, boolean refusesNormal) {
        LoadLevel level = LoadLevel.open(() -> true);
        arrive(level, Importance.NORMAL, arrivals);
        endPeriod(level);
        assertEquals(refusesNormal, level.current() > NORMAL, "level " + level.current());
    }

    /** A service that gets only calls which are never refused, or none, must not close the bands of others. */
    @ParameterizedTest
    @CsvSource({"0", "200"})
    void skipsNothingUnlessCallsThatMayBeRefusedArrive(int criticalCalls) {
        LoadLevel level = LoadLevel.open(() -> true);
        arrive(level, Importance.CRITICAL, criticalCalls);
        endPeriod(level);
        assertTrue(level.current() < NORMAL, "level " + level.current());
    }

    private static void arrive(LoadLevel level, Importance importance, int calls) {
        for (int i = 0; i < calls; i++) {
            level.arrive(importance.ordinal() * RequestId.BUCKETS, 1);
        }
    }

    private static void endPeriod(LoadLevel level) {
        for (int i = 0; i < LoadLevel.PERIOD_WINDOWS; i++) {
            level.endWindow(OVERLOAD);
        }
    }
}
