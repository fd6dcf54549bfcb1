package org.verbenadyke.bench.lab;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the request path on {@link LongRequestFleet}. */
final class LongRequestFleetTest {
    /** Twice the usual load needs 88 % of the slots on average, and 1.6 times that in one quarter of the time. */
    @ParameterizedTest
    @CsvSource({"3, 1.8, 12", "4, 1.8, 12", "5, 2.0, 12", "6, 2.0, 12"})
    void refusesAlmostNothingOfALoadThatSwingsBelowTheCapacity(long seed, double times, long seconds) {
        LongRequestFleet result = LongRequestFleet.runSwinging(seed, times, 2, seconds * Lab.SECOND);
        System.out.println("long requests, swinging load, seed " + seed + ", " + times + " times: " + result);
        assertTrue(result.longs().refusedShare() < 0.05, "longs: " + result.longs());
        assertTrue(result.lookups().inTimeShare() > 0.95, "lookups: " + result.lookups());
        assertTrue(result.renewals().inTimeShare() > 0.99, "renewals: " + result.renewals());
    }

    /** A caller with a short target latency that retries after a refusal must be served in time, not late. */
    @ParameterizedTest
    @CsvSource({"3, 1.8, 12", "4, 1.8, 12", "5, 2.2, 12"})
    void servesRetriedLongRequestsInTime(long seed, double times, long seconds) {
        LongRequestFleet result = LongRequestFleet.run(seed, times, seconds * Lab.SECOND);
        System.out.println("long requests, seed " + seed + ", " + times + " times: " + result);
        assertTrue(result.longs().lateShare() < 0.1, "late: " + result.longs());
        assertTrue(result.renewals().inTimeShare() > 0.9, "renewals: " + result.renewals());
    }
}
