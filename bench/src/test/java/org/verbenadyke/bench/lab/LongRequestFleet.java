package org.verbenadyke.bench.lab;

import java.util.List;

import org.verbenadyke.kernel.call.Importance;

/**
 * A service that is short of slots and serves two kinds of calls of the same importance: short nested calls of lookups,
 * four in sequence, and long direct requests, whose target latency is little more than twice their work. A lookup that
 * is refused once can still be answered in time; a long request hardly can.
 */
final class LongRequestFleet {
    private static final double[] SPEEDS = {0.7, 0.9, 1.4};
    private static final int DISPATCH_SLOTS = 47;
    private static final double LOOKUPS_PER_SECOND = 509;
    private static final double RENEWALS_PER_SECOND = 153;
    private static final double LONGS_PER_SECOND = 93;

    private static final FleetOperation LEG = FleetOperation.of("leg", "dispatch", 15, 300, 700);
    private static final FleetOperation LOOKUP =
            FleetOperation.of("lookup", "archive", 60, 1_200, 5_000).calling(4, LEG, false);
    private static final FleetOperation RENEWAL = FleetOperation.of("renewal", "billing", 78, 1_200, 5_000)
            .calling(4, LEG, false)
            .atMostOnce();
    private static final FleetOperation LONG = FleetOperation.of("long", "dispatch", 240, 600, 2_500);

    private static final List<ServiceSpec> SERVICES = List.of(
            ServiceSpec.of("archive", 4, 265, 1),
            ServiceSpec.of("billing", 3, 353, 1),
            ServiceSpec.of("dispatch", 3, DISPATCH_SLOTS, 1));

    private final CallerFleet fleet;
    private final CallerFleet.Tally lookups = new CallerFleet.Tally();
    private final CallerFleet.Tally renewals = new CallerFleet.Tally();
    private final CallerFleet.Tally longs = new CallerFleet.Tally();

    private LongRequestFleet(long seed) {
        this.fleet = CallerFleet.start(seed, SERVICES, List.of(LEG, LOOKUP, RENEWAL, LONG), SPEEDS);
    }

    /** Applies a multiple of the usual load, without a ramp, to an idle fleet. */
    static LongRequestFleet run(long seed, double times, long nanos) {
        return runSwinging(seed, times, 1, nanos);
    }

    /** Like {@link #run}, with a load that is {@code swing} times higher in the first quarter of each swing period. */
    static LongRequestFleet runSwinging(long seed, double times, double swing, long nanos) {
        LongRequestFleet result = new LongRequestFleet(seed);
        result.fleet.setSwing(swing);
        Lab lab = result.fleet.lab();
        long end = lab.clock().nanos() + nanos;
        result.generateLoad(LOOKUP, Importance.LOW, 5_000, result.lookups, LOOKUPS_PER_SECOND * times, end);
        result.generateLoad(RENEWAL, Importance.HIGH, 5_000, result.renewals, RENEWALS_PER_SECOND * times, end);
        result.generateLoad(LONG, Importance.LOW, 2_500, result.longs, LONGS_PER_SECOND * times, end);
        lab.advance(nanos + 5 * Lab.SECOND);
        return result;
    }

    private void generateLoad(
            FleetOperation operation,
            Importance importance,
            long timeoutMillis,
            CallerFleet.Tally tally,
            double rate,
            long end) {
        fleet.generateLoad(new CallerFleet.CallerGroup(operation, importance, timeoutMillis, tally), rate, end);
    }

    CallerFleet.Tally lookups() {
        return lookups;
    }

    CallerFleet.Tally renewals() {
        return renewals;
    }

    CallerFleet.Tally longs() {
        return longs;
    }

    @Override
    public String toString() {
        return "lookups " + lookups + "; renewals " + renewals + "; longs " + longs;
    }
}
