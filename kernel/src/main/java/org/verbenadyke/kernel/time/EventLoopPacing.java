package org.verbenadyke.kernel.time;

/**
 * Decides how long an event loop rests before it looks for events again, so that a busy node handles several at a time.
 *
 * <p>Load pattern: many nodes share a processor, and each event wakes another of them. What a node costs is then mostly
 * the fetching of its code and data into the caches, once a wake-up, however little there is to do. A node that rests a
 * moment between two turns finds more events in the next one and pays that price once for all of them; what it writes
 * to another node in one turn also wakes that node only once.
 *
 * <p>A loop whose turns are far apart never rests, so that a request on a quiet node waits for nobody. Not safe for
 * several threads: each loop has its own.
 */
public final class EventLoopPacing {
    /**
     * The rest between two turns in nanoseconds: the longest that still served a calm day as before (4 ms cost 1.7 % of
     * its credit), and little against target latencies of a hundred milliseconds and more.
     */
    public static final long REST_NANOS = 2_000_000L;

    /**
     * Turns closer than this on the average, in nanoseconds, make a loop busy: at twice the rest, a rest is expected to
     * gather at least one more event.
     */
    static final long BUSY_NANOS = 2 * REST_NANOS;

    /** Weight of the newest gap in the average: a burst counts after some turns, and a quiet moment ends it at once. */
    private static final double SMOOTHING = 0.125;

    /** The longest gap that counts, in nanoseconds, so that a busy time after a long quiet one is soon noticed. */
    private static final double GAP_MOST = 10.0 * REST_NANOS;

    private double gapNanos = GAP_MOST;
    private long lastNanos = Long.MIN_VALUE;

    private EventLoopPacing() {}

    /**
     * Creates the pacing of one loop, which counts as quiet.
     *
     * @return the pacing
     */
    public static EventLoopPacing quiet() {
        return new EventLoopPacing();
    }

    /**
     * Notes the end of a turn.
     *
     * @param nowNanos the time
     * @return how long to rest before the next turn, in nanoseconds; 0 for not at all
     */
    public long iterationEnded(long nowNanos) {
        if (lastNanos != Long.MIN_VALUE) {
            double gap = Math.min(GAP_MOST, nowNanos - lastNanos);
            gapNanos += SMOOTHING * (gap - gapNanos);
        }
        lastNanos = nowNanos;
        return gapNanos < BUSY_NANOS ? REST_NANOS : 0;
    }
}
