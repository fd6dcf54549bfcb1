package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.route.RequestLimits;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.route.ServiceEntry;

/**
 * A service that is short of slots and serves the nested calls of reads, eight in sequence, those of writes, four in
 * sequence unless stated otherwise, and a few direct requests of the highest importance. At the usual load, its slots
 * are just enough.
 */
final class SharesFleet {
    private static final double[] SPEEDS = {0.7, 0.9, 1.4};
    private static final double READS_PER_SECOND = 315;
    private static final double WRITES_PER_SECOND = 103;
    private static final double DIRECT_PER_SECOND = 38;
    private static final long TIMEOUT_MILLIS = 5_000;

    private static final FleetOperation STEP = FleetOperation.of("step", "deep", 49, 400, 1_000);
    private static final FleetOperation READ =
            FleetOperation.of("read", "reading", 30, 1_500, 1_500).calling(8, STEP, false);
    private static final FleetOperation WRITE =
            FleetOperation.of("write", "writing", 30, 4_000, 1_500).atMostOnce();

    /** How many calls a write makes to the service that is short of slots: half as many as a read. */
    private static final int WRITE_CALLS = 4;

    private static final FleetOperation DIRECT =
            FleetOperation.of("direct", "deep", 160, 500, 1_200).atMostOnce();

    private static final List<ServiceSpec> SERVICES = List.of(
            ServiceSpec.of("reading", 6, 265, 1),
            ServiceSpec.of("writing", 3, 265, 1),
            ServiceSpec.of("deep", 3, 50, 1));

    private final FleetOperation read;
    private final FleetOperation write;
    private final RoutePlan plan;
    private final CallerFleet fleet;
    private final CallerFleet.Tally reads = new CallerFleet.Tally();
    private final CallerFleet.Tally writes = new CallerFleet.Tally();
    private final CallerFleet.Tally direct = new CallerFleet.Tally();

    private SharesFleet(long seed, int readPriority, int writePriority, int writeCalls, boolean planInForce) {
        this.read = READ.withPriority(readPriority);
        this.write = WRITE.calling(writeCalls, STEP, false).withPriority(writePriority);
        List<Route> routes =
                Stream.of(read, write, DIRECT).map(FleetOperation::route).toList();
        List<ServiceEntry> services = SERVICES.stream()
                .map(s -> new ServiceEntry(s.name(), "/", s.slots()))
                .toList();
        this.plan = RoutePlan.of(1, routes, services, RequestLimits.standard());
        RoutePlanStore store = planInForce ? store(plan) : RoutePlanStore.disabled();
        this.fleet = CallerFleet.start(seed, SERVICES, List.of(STEP, read, write, DIRECT), SPEEDS, store);
    }

    /** Creates a fleet with reads of the middle importance and writes of the lowest. */
    static SharesFleet withWritesBelowReads(long seed, boolean planInForce) {
        return new SharesFleet(seed, 1, 2, WRITE_CALLS, planInForce);
    }

    /** Creates a fleet with reads of the middle importance and writes of the lowest, which make more calls. */
    static SharesFleet withLongWritesBelowReads(long seed, int writeCalls) {
        return new SharesFleet(seed, 1, 2, writeCalls, true);
    }

    /** Creates a fleet with writes of the middle importance and reads of the lowest. */
    static SharesFleet withReadsBelowWrites(long seed, boolean planInForce) {
        return new SharesFleet(seed, 2, 1, WRITE_CALLS, planInForce);
    }

    /** Applies a multiple of the usual load, without a ramp, to an idle fleet. */
    SharesFleet run(double times, long nanos) {
        Lab lab = fleet.lab();
        long end = lab.clock().nanos() + nanos;
        generateLoad(read, reads, READS_PER_SECOND * times, end);
        generateLoad(write, writes, WRITES_PER_SECOND * times, end);
        generateLoad(DIRECT, direct, DIRECT_PER_SECOND * times, end);
        lab.advance(nanos + TIMEOUT_MILLIS * Lab.MILLI);
        return this;
    }

    private void generateLoad(FleetOperation operation, CallerFleet.Tally tally, double rate, long end) {
        CallerFleet.CallerGroup group = new CallerFleet.CallerGroup(
                operation, plan.importance(operation.route(), Optional.empty()), TIMEOUT_MILLIS, tally);
        fleet.generateLoad(group, rate, end);
    }

    private static RoutePlanStore store(RoutePlan plan) {
        RoutePlanStore.Listener listener = new RoutePlanStore.Listener() {
            @Override
            public void applied(RoutePlan applied, long before, String source) {
                // The nodes read the plan from the store.
            }

            @Override
            public void rejected(String source, List<String> problems) {
                throw new IllegalStateException(problems.toString());
            }
        };
        RoutePlanStore store = RoutePlanStore.create(document -> plan, Counters.create(), listener);
        store.offer(new byte[0], "test");
        return store;
    }

    CallerFleet.Tally reads() {
        return reads;
    }

    CallerFleet.Tally writes() {
        return writes;
    }

    CallerFleet.Tally direct() {
        return direct;
    }

    /** Returns the share of all requests that were answered in time. */
    double inTimeShare() {
        double inTime = reads.inTime() + writes.inTime() + direct.inTime();
        return inTime / (reads.requested() + writes.requested() + direct.requested());
    }

    @Override
    public String toString() {
        return String.format(
                "in time %.3f; reads %.3f %s; writes %.3f %s; direct %.3f %s",
                inTimeShare(), reads.inTimeShare(), reads, writes.inTimeShare(), writes, direct.inTimeShare(), direct);
    }
}
