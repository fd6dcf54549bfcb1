package org.verbenadyke.kernel.follow;

import java.util.concurrent.atomic.AtomicLong;

import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Records how current the route plan of this node is known to be. Thread-safe.
 */
public final class PlanCurrency {
    /** The age reported for what never happened: exceeds every timeout. */
    public static final int NEVER_MILLIS = 3_600_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final TimerService timers;
    private final RoutePlanStore plans;
    private final AtomicLong highestHeard = new AtomicLong(RoutePlanStore.NO_VERSION);
    private volatile Applied applied;
    private volatile long answeredNanos;

    private PlanCurrency(TimerService timers, RoutePlanStore plans) {
        this.timers = timers;
        this.plans = plans;
        this.applied = new Applied("", timers.nanos());
        this.answeredNanos = timers.nanos() - NEVER_MILLIS * NANOS_PER_MILLI;
    }

    /**
     * Creates the record of a node that starts.
     *
     * @param timers the clock
     * @param plans the plan in force
     * @return the record
     */
    public static PlanCurrency of(TimerService timers, RoutePlanStore plans) {
        return new PlanCurrency(timers, plans);
    }

    /**
     * Called when a plan came into force.
     *
     * @param source what brought it
     */
    public void applied(String source) {
        applied = new Applied(source, timers.nanos());
    }

    /**
     * Called when a peer told which version it has.
     *
     * @param version the version, -1 if it has none
     */
    public void heard(long version) {
        highestHeard.accumulateAndGet(version, Math::max);
    }

    /** Called when the store answered a read of this node. */
    public void answered() {
        answeredNanos = timers.nanos();
    }

    /**
     * Returns what is known now.
     *
     * @param ageMillis how long ago some node was known to read the operators' record, in milliseconds
     * @return the status
     */
    public PlanStatus status(int ageMillis) {
        Applied last = applied;
        long version = plans.version();
        return new PlanStatus(
                version,
                (timers.nanos() - last.atNanos()) / NANOS_PER_MILLI,
                last.source(),
                Math.max(version, highestHeard.get()),
                millisSince(answeredNanos),
                ageMillis);
    }

    private int millisSince(long nanos) {
        return Math.clamp((timers.nanos() - nanos) / NANOS_PER_MILLI, 0, NEVER_MILLIS);
    }

    /**
     * When a plan came into force.
     *
     * @param source what brought it
     * @param atNanos the time, in nanoseconds
     */
    private record Applied(String source, long atNanos) {}
}
