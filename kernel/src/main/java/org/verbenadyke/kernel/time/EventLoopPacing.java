package org.verbenadyke.kernel.time;

/**
 * Decides how long an event loop pauses before it polls for events again, so that a busy node handles events in
 * batches.
 *
 * <p>Load pattern: many nodes share a processor, and each event wakes a different node. The cost of a node is then
 * mostly that of loading its code and data into the caches at each wake-up, however little there is to do. A node that
 * pauses briefly between two iterations finds more events in the next one and pays this cost once for all of them. Its
 * writes to another node in one iteration also wake that node only once.
 *
 * <p>A loop whose iterations are far apart never pauses, so that a request on an idle node is not delayed. Not
 * thread-safe: each loop has its own instance.
 */
public final class EventLoopPacing {
    /**
     * Pause between two iterations in nanoseconds. The longest pause that did not degrade service under light load
     * (4 ms cost 1.7 % of the score there), and short compared to target latencies of 100 milliseconds and more.
     */
    public static final long PAUSE_NANOS = 2_000_000L;

    /**
     * A loop is busy if the average gap between its iterations is shorter than this, in nanoseconds. At twice the
     * pause, a pause is expected to collect at least one more event.
     */
    static final long BUSY_NANOS = 2 * PAUSE_NANOS;

    /** Weight of the newest gap in the average: load counts after some iterations, an idle moment ends it at once. */
    private static final double SMOOTHING = 0.125;

    /** Maximum gap that is averaged, in nanoseconds, so that load after a long idle time is detected soon. */
    private static final double MAX_GAP_NANOS = 10.0 * PAUSE_NANOS;

    private double averageGapNanos = MAX_GAP_NANOS;
    private long lastEndNanos = Long.MIN_VALUE;

    private EventLoopPacing() {}

    /**
     * Creates the pacing of one loop, which initially counts as idle.
     *
     * @return the pacing
     */
    public static EventLoopPacing quiet() {
        return new EventLoopPacing();
    }

    /**
     * Records the end of an iteration.
     *
     * @param nowNanos the time
     * @return how long to pause before the next iteration, in nanoseconds; 0 for no pause
     */
    public long iterationEnded(long nowNanos) {
        if (lastEndNanos != Long.MIN_VALUE) {
            double gap = Math.min(MAX_GAP_NANOS, nowNanos - lastEndNanos);
            averageGapNanos += SMOOTHING * (gap - averageGapNanos);
        }
        lastEndNanos = nowNanos;
        return averageGapNanos < BUSY_NANOS ? PAUSE_NANOS : 0;
    }
}
