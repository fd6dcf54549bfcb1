package org.verbenadyke.bench.lab;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that an acknowledged departure outlives the process that acknowledged it. */
final class DepartureRecoveryTest {
    /** How long a server waits for an answer to its announcement. */
    private static final long ANSWER_NANOS = Lab.SECOND;

    /** Repeats that a server has time for before it ends without an acknowledgement. */
    private static final int MAX_REPEATS = 4;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void outlivesAKillOfAllNodes(long seed) {
        DepartureFleet fleet = DepartureFleet.start(seed);
        departAcknowledged(fleet);
        fleet.kill(true);
        fleet.restart(Lab.SECOND);
        assertTrue(fleet.known());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void outlivesAKillDuringAnOutageOfTheLog(long seed) {
        DepartureFleet fleet = DepartureFleet.start(seed);
        fleet.lab().log().outage(true);
        departAcknowledged(fleet);
        fleet.kill(false);
        fleet.restart(2 * Lab.SECOND);
        assertTrue(fleet.known());
    }

    /** The log has no record then, and is read before any other node answers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void outlivesAKillAtTheEndOfAnOutageOfTheLog(long seed) {
        DepartureFleet fleet = DepartureFleet.start(seed);
        fleet.lab().log().outage(true);
        departAcknowledged(fleet);
        fleet.kill(false);
        fleet.lab().log().outage(false);
        fleet.restart(2 * Lab.SECOND);
        assertTrue(fleet.known());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void outlivesKillsInSeries(long seed) {
        DepartureFleet fleet = DepartureFleet.start(seed);
        departAcknowledged(fleet);
        for (int i = 0; i < 3; i++) {
            fleet.kill(false);
            fleet.restart((i + 1) * 100 * Lab.MILLI);
        }
        fleet.lab().advance(Lab.SECOND);
        assertTrue(fleet.known());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void isNotAcknowledgedWhileNobodyElseCanKeepIt(long seed) {
        DepartureFleet fleet = DepartureFleet.start(seed);
        fleet.lab().log().outage(true);
        fleet.isolate(true);
        fleet.depart();
        assertFalse(fleet.acknowledged());
        fleet.isolate(false);
        for (int i = 0; i < MAX_REPEATS && !fleet.acknowledged(); i++) {
            fleet.depart();
        }
        assertTrue(fleet.acknowledged());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void knowsNothingAfterAFirstStartWithoutWaitingLong(long seed) {
        DepartureFleet fleet = DepartureFleet.start(seed);
        fleet.kill(false);
        fleet.restart(Lab.SECOND);
        assertTrue(fleet.recovered());
        assertFalse(fleet.known());
        assertTrue(fleet.recoveredAfterNanos() < 200 * Lab.MILLI, "after " + fleet.recoveredAfterNanos() + " ns");
    }

    /** Its routes come from the same two sources, so that it could not serve anyway. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void givesNoWorkWhileNeitherTheLogNorAnotherNodeAnswers(long seed) {
        DepartureFleet fleet = DepartureFleet.start(seed);
        fleet.kill(false);
        fleet.isolate(true);
        fleet.lab().log().outage(true);
        fleet.restart(5 * Lab.SECOND);
        assertFalse(fleet.recovered());
        fleet.lab().log().outage(false);
        fleet.lab().advance(5 * Lab.SECOND);
        assertTrue(fleet.recovered());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void costsOneAppendForEachDeparture(long seed) {
        DepartureFleet fleet = DepartureFleet.start(seed);
        long before = fleet.lab().log().appends();
        departAcknowledged(fleet);
        fleet.depart();
        fleet.lab().advance(10 * Lab.SECOND);
        assertEquals(before + 1, fleet.lab().log().appends());
    }

    private static void departAcknowledged(DepartureFleet fleet) {
        fleet.depart();
        assertTrue(fleet.acknowledged());
        assertTrue(fleet.acknowledgedAfterNanos() < ANSWER_NANOS, "after " + fleet.acknowledgedAfterNanos() + " ns");
    }
}
