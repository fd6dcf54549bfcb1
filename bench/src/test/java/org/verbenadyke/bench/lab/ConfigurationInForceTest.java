package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenadyke.kernel.follow.FollowSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests when a version is in force on each node in touch, in fleets on a virtual clock. */
final class ConfigurationInForceTest {
    private static final int CHANGES = 8;
    private static final long CUT_NANOS = 6 * Lab.SECOND;

    /** The steps of docs/design/plan-currency.md. */
    private static final long TICK_NANOS = 100 * Lab.MILLI;

    private static final long READ_NANOS = 10 * Lab.MILLI;
    private static final long BATCH_NANOS = 150 * Lab.MILLI;
    private static final long ROUNDS_NANOS = 500 * Lab.MILLI;

    @ParameterizedTest
    @CsvSource({"1,9,3,2000", "2,13,3,2000", "3,62,4,2500", "4,96,5,3000"})
    void changesReachAllNodesInACalm(long seed, int nodes, int dataCentres, long boundMillis) {
        ConfigurationFleet fleet = ConfigurationFleet.start(seed, nodes, dataCentres, boundMillis * Lab.MILLI);
        changeAtRandom(fleet, seed);
        assertNothingLate(fleet);
        assertWithin(BATCH_NANOS + READ_NANOS + ROUNDS_NANOS, fleet);
    }

    /** The connections of all followers to the store fall silent together. */
    @ParameterizedTest
    @CsvSource({"1,9,3,2000", "2,13,3,2000", "3,24,4,2500", "4,62,4,2500", "5,62,4,2500", "6,96,5,3000"})
    void changesReachAllNodesWhenAllFollowersGoSilent(long seed, int nodes, int dataCentres, long boundMillis) {
        ConfigurationFleet fleet = ConfigurationFleet.start(seed, nodes, dataCentres, boundMillis * Lab.MILLI);
        fleet.designated().forEach(s -> fleet.path(s, StorePath.State.SILENT));
        changeAtRandom(fleet, seed);
        assertNothingLate(fleet);
        FollowSettings settings = FollowSettings.within(boundMillis * Lab.MILLI);
        assertWithin(settings.timeoutNanos() + settings.turnNanos() + TICK_NANOS + READ_NANOS + ROUNDS_NANOS, fleet);
    }

    /** All followers and a third of the other nodes lose the store, in series. */
    @ParameterizedTest
    @CsvSource({"1,13,3,2000", "2,24,4,2500", "3,62,4,2500", "4,62,4,2500", "5,96,5,3000"})
    void changesReachAllNodesWhenAThirdLosesTheStoreAgainAndAgain(
            long seed, int nodes, int dataCentres, long boundMillis) {
        ConfigurationFleet fleet = ConfigurationFleet.start(seed, nodes, dataCentres, boundMillis * Lab.MILLI);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 4; i++) {
            List<LabServer> followers = fleet.designated();
            List<LabServer> cut = fleet.servers().stream()
                    .filter(s -> followers.contains(s) || random.nextInt(3) == 0)
                    .toList();
            cut.forEach(s -> fleet.path(s, random.nextBoolean() ? StorePath.State.SILENT : StorePath.State.REFUSING));
            fleet.record().write();
            fleet.run(CUT_NANOS);
            fleet.record().write();
            fleet.run(Lab.SECOND);
            cut.forEach(s -> fleet.path(s, StorePath.State.OPEN));
            fleet.run(random.nextLong(4 * Lab.SECOND));
        }
        assertNothingLate(fleet);
    }

    /** All connections between nodes fall silent for good; new ones work. */
    @ParameterizedTest
    @CsvSource({"1,9,3,2000", "2,13,3,2000", "3,62,4,2500", "4,96,5,3000"})
    void changesReachAllNodesWhenTheirLinksGoSilent(long seed, int nodes, int dataCentres, long boundMillis) {
        ConfigurationFleet fleet = ConfigurationFleet.start(seed, nodes, dataCentres, boundMillis * Lab.MILLI);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < CHANGES; i++) {
            fleet.record().write();
            fleet.run(random.nextLong(3 * Lab.SECOND));
            fleet.lab().net().silence(1);
        }
        fleet.run(4 * Lab.SECOND);
        assertNothingLate(fleet);
    }

    /** A part of the nodes loses the others and the store, while changes are made. */
    @ParameterizedTest
    @CsvSource({"1,13,3,2000", "2,24,4,2500", "3,62,4,2500", "4,62,4,2500", "5,96,5,3000"})
    void changesReachNodesThatReturnFromACut(long seed, int nodes, int dataCentres, long boundMillis) {
        ConfigurationFleet fleet = ConfigurationFleet.start(seed, nodes, dataCentres, boundMillis * Lab.MILLI);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 4; i++) {
            List<LabServer> cut =
                    fleet.servers().stream().filter(s -> random.nextInt(5) == 0).toList();
            cut.forEach(s -> {
                fleet.isolate(s, true);
                fleet.path(s, StorePath.State.SILENT);
            });
            fleet.run(random.nextLong(CUT_NANOS));
            fleet.record().write();
            fleet.run(random.nextLong(CUT_NANOS));
            cut.forEach(s -> {
                fleet.isolate(s, false);
                fleet.path(s, StorePath.State.OPEN);
            });
            fleet.run(5 * Lab.SECOND);
        }
        assertNothingLate(fleet);
    }

    private static void changeAtRandom(ConfigurationFleet fleet, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < CHANGES; i++) {
            fleet.run(random.nextLong(3 * Lab.SECOND));
            fleet.record().write();
        }
        fleet.run(6 * Lab.SECOND);
    }

    private static void assertWithin(long nanos, ConfigurationFleet fleet) {
        assertTrue(
                fleet.longestNanos() <= nanos, () -> fleet.longestNanos() / Lab.MILLI + " ms of " + nanos / Lab.MILLI);
    }

    private static void assertNothingLate(ConfigurationFleet fleet) {
        assertEquals(
                List.of(),
                fleet.violations(),
                () -> "the longest time was " + fleet.longestNanos() / Lab.MILLI + " ms");
    }
}
