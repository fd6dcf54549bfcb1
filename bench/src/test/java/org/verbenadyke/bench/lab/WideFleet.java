package org.verbenadyke.bench.lab;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.verbenadyke.kernel.call.Importance;

/**
 * Many nodes, each with few requests of its own: lookups of the lowest importance and filings of the highest, both of
 * which make eight calls to the few upstreams of the deepest service. Models a fleet of about ninety nodes with half
 * the nodes and half the load, so that each node receives as many requests per second as in the full fleet.
 */
final class WideFleet {
    private static final double[] SPEEDS = {0.6, 1.0, 1.4};
    private static final int WIDE_SLOTS = 76;
    private static final int DEEP_SLOTS = 153;
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final double LOOKUPS_PER_SECOND = 413;
    private static final double FILINGS_PER_SECOND = 157;
    private static final double READS_PER_SECOND = 118;
    private static final double DOWNLOADS_PER_SECOND = 77;

    private static final FleetOperation GEO = FleetOperation.of("geo", "survey-view", 110, 300, 700);
    private static final FleetOperation MANIFEST =
            FleetOperation.of("manifest", "log-archive", 15, 800, 2_000).calling(4, GEO, false);
    private static final FleetOperation STATUS =
            FleetOperation.of("status", "permit-desk", 15, 1_000, 2_500).calling(1, MANIFEST, false);
    private static final FleetOperation LOOKUP =
            FleetOperation.of("lookup", "well-index", 450, 2_000, 2_500).calling(2, STATUS, true);
    private static final FleetOperation FILING = FleetOperation.of("filing", "permit-desk", 580, 2_500, 3_000)
            .calling(2, MANIFEST, true)
            .atMostOnce();
    private static final FleetOperation DOWNLOAD = FleetOperation.of("download", "log-archive", 361, 1_204, 5_000);
    private static final FleetOperation READ = FleetOperation.of("read", "survey-view", 180, 600, 1_200);

    private static final List<ServiceSpec> SERVICES = List.of(
            ServiceSpec.of("well-index", 22, WIDE_SLOTS, 1),
            ServiceSpec.of("permit-desk", 15, WIDE_SLOTS, 1),
            ServiceSpec.of("log-archive", 5, DEEP_SLOTS, 1),
            ServiceSpec.of("survey-view", 3, DEEP_SLOTS, 1));

    private static final List<FleetOperation> OPERATIONS =
            List.of(GEO, MANIFEST, STATUS, LOOKUP, FILING, READ, DOWNLOAD);

    private final CallerFleet fleet;
    private final Map<Importance, CallerFleet.Tally> tallies = new EnumMap<>(Importance.class);
    private final CallerFleet.Tally downloads = new CallerFleet.Tally();
    private final double times;

    private WideFleet(long seed, double times) {
        this.times = times;
        this.fleet = CallerFleet.start(seed, SERVICES, OPERATIONS, SPEEDS);
        for (Importance i : Importance.values()) {
            tallies.put(i, new CallerFleet.Tally());
        }
    }

    /** Applies a multiple of the usual load, without a ramp, to an idle fleet. */
    static Map<Importance, CallerFleet.Tally> run(long seed, double times, long nanos) {
        WideFleet wide = new WideFleet(seed, times);
        wide.load(nanos, 0);
        return wide.tallies;
    }

    /** Like {@link #run}, with downloads of the lowest importance, which make no nested calls; returns their tally. */
    static CallerFleet.Tally runWithDownloads(long seed, double times, long nanos) {
        WideFleet wide = new WideFleet(seed, times);
        wide.load(nanos, DOWNLOADS_PER_SECOND);
        return wide.downloads;
    }

    private void load(long nanos, double downloadsPerSecond) {
        long end = fleet.lab().clock().nanos() + nanos;
        generateLoad(LOOKUP, Importance.LOW, tallies.get(Importance.LOW), LOOKUPS_PER_SECOND, end);
        generateLoad(READ, Importance.NORMAL, tallies.get(Importance.NORMAL), READS_PER_SECOND, end);
        generateLoad(FILING, Importance.HIGH, tallies.get(Importance.HIGH), FILINGS_PER_SECOND, end);
        if (downloadsPerSecond > 0) {
            generateLoad(DOWNLOAD, Importance.LOW, downloads, downloadsPerSecond, end);
        }
        fleet.lab().advance(nanos + 5 * Lab.SECOND);
    }

    private void generateLoad(
            FleetOperation operation, Importance importance, CallerFleet.Tally tally, double perSecond, long end) {
        fleet.generateLoad(
                new CallerFleet.CallerGroup(operation, importance, TIMEOUT_MILLIS, tally), perSecond * times, end);
    }
}
