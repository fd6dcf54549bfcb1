package org.verbenadyke.bench.lab;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * A randomised run in which operators change the configuration while the nodes that read it, and others, lose the
 * store, each other or their process, in series and overlapping.
 */
public final class ConfigurationSoak {
    private static final long MEAN_FAULT_GAP_NANOS = 1_500 * Lab.MILLI;
    private static final long MEAN_CHANGE_GAP_NANOS = 1_200 * Lab.MILLI;
    private static final long MIN_LENGTH_NANOS = 300 * Lab.MILLI;
    private static final long LENGTH_SPREAD_NANOS = 9 * Lab.SECOND;
    private static final long HISTORY_DEAF_NANOS = Lab.SECOND;
    private static final long SETTLE_NANOS = 12 * Lab.SECOND;

    /** Beyond a third of the nodes, the substitutes of several turns may all have lost the store. */
    private static final int CUT_ONE_IN = 3;

    /** Nodes, data centres, and the bound for changes in milliseconds. */
    private static final int[][] FLEETS = {{9, 3, 2_000}, {13, 3, 2_000}, {24, 4, 2_500}, {62, 4, 2_500}, {96, 5, 3_000}
    };

    private final ConfigurationFleet fleet;
    private final RandomGenerator random;
    private final Set<LabServer> faulty = new HashSet<>();
    private int faults;
    private int changes;

    private ConfigurationSoak(ConfigurationFleet fleet) {
        this.fleet = fleet;
        this.random = fleet.lab().random();
    }

    /**
     * Runs a fleet whose size follows from the seed.
     *
     * @param seed the random seed; the same seed repeats the run
     * @param seconds how long changes and faults last, in virtual seconds
     * @return what was done and what was violated
     */
    public static Report run(long seed, int seconds) {
        int[] size = FLEETS[(int) Math.floorMod(seed, (long) FLEETS.length)];
        ConfigurationSoak soak =
                new ConfigurationSoak(ConfigurationFleet.start(seed, size[0], size[1], size[2] * Lab.MILLI));
        long until = soak.fleet.lab().clock().nanos() + seconds * Lab.SECOND;
        soak.change(until);
        soak.injectFaults(until);
        soak.fleet.run(seconds * Lab.SECOND + SETTLE_NANOS);
        return new Report(
                seed,
                size[0],
                soak.changes,
                soak.faults,
                soak.fleet.longestNanos() / Lab.MILLI,
                soak.fleet.record().calls(),
                soak.fleet.violations());
    }

    private void change(long until) {
        if (fleet.lab().clock().nanos() >= until) {
            return;
        }
        fleet.record().write();
        changes++;
        after(random.nextLong(2 * MEAN_CHANGE_GAP_NANOS), () -> change(until));
    }

    private void injectFaults(long until) {
        if (fleet.lab().clock().nanos() >= until) {
            return;
        }
        faults++;
        long length = MIN_LENGTH_NANOS + random.nextLong(LENGTH_SPREAD_NANOS);
        switch (random.nextInt(7)) {
            case 0 -> loseStore(fleet.designated(), length);
            case 1 -> loseStore(draw(CUT_ONE_IN), length);
            case 2 -> isolate(draw(2 * CUT_ONE_IN), length);
            case 3 -> disturb(draw(2 * CUT_ONE_IN), length, fleet::kill, fleet::restart);
            case 4 -> disturb(fleet.designated(), length, fleet::pause, fleet::resume);
            case 5 -> fleet.lab().net().silence(random.nextDouble());
            default -> fleet.dropHistory(HISTORY_DEAF_NANOS);
        }
        after(random.nextLong(2 * MEAN_FAULT_GAP_NANOS), () -> injectFaults(until));
    }

    private void loseStore(List<LabServer> servers, long length) {
        StorePath.State state = random.nextInt(3) == 0 ? StorePath.State.REFUSING : StorePath.State.SILENT;
        disturb(servers, length, s -> fleet.path(s, state), s -> fleet.path(s, StorePath.State.OPEN));
    }

    private void isolate(List<LabServer> servers, long length) {
        disturb(
                servers,
                length,
                s -> {
                    fleet.isolate(s, true);
                    fleet.path(s, StorePath.State.SILENT);
                },
                s -> {
                    fleet.isolate(s, false);
                    fleet.path(s, StorePath.State.OPEN);
                });
    }

    /** Lets each node that has no fault have one, and ends it. */
    private void disturb(List<LabServer> servers, long length, Consumer<LabServer> begin, Consumer<LabServer> end) {
        List<LabServer> free = servers.stream().filter(faulty::add).toList();
        free.forEach(begin);
        after(
                length,
                () -> free.forEach(s -> {
                    faulty.remove(s);
                    end.accept(s);
                }));
    }

    private List<LabServer> draw(int oneIn) {
        return fleet.servers().stream().filter(s -> random.nextInt(oneIn) == 0).toList();
    }

    private void after(long nanos, Runnable task) {
        fleet.lab().clock().after(nanos, task);
    }

    /**
     * The result of a run.
     *
     * @param seed its seed
     * @param nodes how many nodes the fleet has
     * @param changes how many versions were written
     * @param faults how many faults were injected
     * @param longestMillis the longest time until a version was in force on a node in touch, in milliseconds
     * @param calls how many calls the store received
     * @param violations what broke a rule
     */
    public record Report(
            long seed, int nodes, int changes, int faults, long longestMillis, long calls, List<String> violations) {
        /**
         * Returns the run in one line.
         *
         * @return the line
         */
        public String summary() {
            return "seed " + seed + ": " + nodes + " nodes, " + changes + " changes, " + faults + " faults, " + calls
                    + " calls, longest " + longestMillis + " ms, " + violations.size() + " violations"
                    + violations.stream().limit(3).collect(Collectors.joining("; ", " ", ""));
        }
    }
}
