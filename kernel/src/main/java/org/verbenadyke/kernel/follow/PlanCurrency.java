package org.verbenadyke.kernel.follow;

import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Records until when the route plan of this node is known to be complete: every change that was made before that time
 * is in it. Only answers of the store show that, those to this node and those that peers with the same or an older
 * version tell of. A read that waits for its answer shows nothing. Thread-safe.
 */
public final class PlanCurrency {
    /** The age reported for what never happened: exceeds every timeout. */
    public static final int NEVER_MILLIS = 3_600_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * How long a version that a peer was heard to have counts: many rounds of gossip, in which the peers that have it
     * tell of it again.
     */
    private static final long HEARD_TIMEOUT_NANOS = 10_000 * NANOS_PER_MILLI;

    /** A longer time between two ticks shows that the process was paused. */
    private static final long MAX_TICK_GAP_NANOS = 300 * NANOS_PER_MILLI;

    /** For how long after a pause messages are read that may have waited through it. */
    private static final long BACKLOG_NANOS = 500 * NANOS_PER_MILLI;

    private final TimerService timers;
    private final RoutePlanStore plans;
    private final long boundNanos;
    private volatile Applied applied;
    private volatile long answeredNanos;
    private long completeNanos;
    private long tickNanos;
    private long pauseNanos;
    private long backlogUntilNanos;
    private Heard highest;

    private PlanCurrency(TimerService timers, RoutePlanStore plans, long boundNanos) {
        long never = timers.nanos() - NEVER_MILLIS * NANOS_PER_MILLI;
        this.timers = timers;
        this.plans = plans;
        this.boundNanos = boundNanos;
        this.applied = new Applied("", timers.nanos());
        this.answeredNanos = never;
        this.completeNanos = never;
        this.tickNanos = timers.nanos();
        this.backlogUntilNanos = timers.nanos();
        this.highest = new Heard(RoutePlanStore.NO_VERSION, never, timers.nanos());
    }

    /**
     * Creates the record of a node that starts.
     *
     * @param timers the clock
     * @param plans the plan in force
     * @param boundNanos how long a change may take until it is in force everywhere, in nanoseconds
     * @return the record
     */
    public static PlanCurrency of(TimerService timers, RoutePlanStore plans, long boundNanos) {
        return new PlanCurrency(timers, plans, boundNanos);
    }

    /**
     * Called when a plan came into force.
     *
     * @param source what brought it
     */
    public void applied(String source) {
        applied = new Applied(source, timers.nanos());
    }

    /** Called when the store answered a read of this node. */
    public void answered() {
        answeredNanos = timers.nanos();
    }

    /**
     * Called when the plan in force has everything that the store had at some time. An answer that lacks a version
     * which a peer has is out of date and shows nothing.
     *
     * @param atNanos a time at which the store had no more, in nanoseconds
     */
    public synchronized void confirmed(long atNanos) {
        if (highestHeard() <= plans.version()) {
            advance(atNanos);
        }
    }

    /** Called some times a second, by which pauses of the process are noticed. */
    public synchronized void tick() {
        long now = timers.nanos();
        if (now - tickNanos > MAX_TICK_GAP_NANOS) {
            backlogUntilNanos = now + BACKLOG_NANOS;
            pauseNanos = tickNanos;
        }
        tickNanos = now;
    }

    /**
     * Called when a peer told which version it has, and how long ago that was known to be complete. What it told may
     * have waited here through a pause of the process.
     *
     * @param version the version, -1 if it has none
     * @param ageMillis the age, in milliseconds
     */
    public synchronized void heard(long version, int ageMillis) {
        long now = timers.nanos();
        long complete = receivedNanos(now) - Math.max(0, ageMillis) * NANOS_PER_MILLI;
        if (version <= plans.version()) {
            advance(complete);
            return;
        }
        if (version > highestHeard()) {
            highest = new Heard(version, complete, now);
        } else if (version == highest.version()) {
            highest = new Heard(version, later(complete, highest.completeNanos()), now);
        }
    }

    /**
     * Returns how long ago the plan in force was known to be complete.
     *
     * @return the age in milliseconds, at most {@link #NEVER_MILLIS}
     */
    public synchronized int ageMillis() {
        if (highest.version() <= plans.version()) {
            advance(highest.completeNanos());
        }
        return millisSince(completeNanos);
    }

    /**
     * Returns what is known now.
     *
     * @return the status
     */
    public synchronized PlanStatus status() {
        Applied last = applied;
        long version = plans.version();
        return new PlanStatus(
                version,
                (timers.nanos() - last.atNanos()) / NANOS_PER_MILLI,
                last.source(),
                Math.max(version, highestHeard()),
                millisSince(answeredNanos),
                ageMillis(),
                boundNanos / NANOS_PER_MILLI);
    }

    /** Returns a time before which a message that is handled now can't have arrived. */
    private long receivedNanos(long now) {
        if (now - backlogUntilNanos < 0) {
            return pauseNanos;
        }
        return now - tickNanos > MAX_TICK_GAP_NANOS ? tickNanos : now;
    }

    private long highestHeard() {
        boolean expired = timers.nanos() - highest.heardNanos() > HEARD_TIMEOUT_NANOS;
        return expired ? RoutePlanStore.NO_VERSION : highest.version();
    }

    private void advance(long nanos) {
        completeNanos = later(nanos, completeNanos);
    }

    private static long later(long a, long b) {
        return a - b > 0 ? a : b;
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

    /**
     * The highest version that a peer told of.
     *
     * @param version the version
     * @param completeNanos until when it is known to be complete, in nanoseconds
     * @param heardNanos when a peer last told of it, in nanoseconds
     */
    private record Heard(long version, long completeNanos, long heardNanos) {}
}
