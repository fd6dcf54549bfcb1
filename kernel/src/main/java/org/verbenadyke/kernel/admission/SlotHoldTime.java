package org.verbenadyke.kernel.admission;

/**
 * How long calls hold their slot, smoothed over the last calls. Thread-safe; when two threads update the mean at the
 * same time, one update may be lost, which a mean tolerates.
 */
final class SlotHoldTime {
    /**
     * Weight of the newest call: the mean follows about the last hundred calls, a few tenths of a second under load.
     */
    private static final double SMOOTHING = 0.02;

    private volatile double nanos;

    private SlotHoldTime() {}

    static SlotHoldTime unknown() {
        return new SlotHoldTime();
    }

    void observe(long newNanos) {
        double mean = nanos;
        nanos = mean == 0 ? newNanos : mean + SMOOTHING * (newNanos - mean);
    }

    long nanos() {
        return (long) nanos;
    }
}
