package org.verbenadyke.kernel.admission;

/**
 * How long calls hold their place in flight, smoothed over the last calls. Safe for many threads; a lost update of two
 * at once does no harm to a mean.
 */
final class SlotHoldTime {
    /** Weight of the newest call: about the last hundred calls count, some tenths of a second under load. */
    private static final double SMOOTHING = 0.02;

    private volatile double nanos;

    private SlotHoldTime() {}

    static SlotHoldTime unknown() {
        return new SlotHoldTime();
    }

    void observe(long newNanos) {
        double seen = nanos;
        nanos = seen == 0 ? newNanos : seen + SMOOTHING * (newNanos - seen);
    }

    long nanos() {
        return (long) nanos;
    }
}
