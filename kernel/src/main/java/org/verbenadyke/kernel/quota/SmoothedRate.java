package org.verbenadyke.kernel.quota;

/**
 * An exponentially smoothed rate of events at irregular times. The time that a new instance has not covered yet is left
 * out of the mean, so that the rate is unbiased from the first event on. Not thread-safe.
 */
final class SmoothedRate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double constantSeconds;
    private final long startNanos;
    private double weighted;
    private long updatedNanos;

    private SmoothedRate(double constantSeconds, long startNanos) {
        this.constantSeconds = constantSeconds;
        this.startNanos = startNanos;
        this.updatedNanos = startNanos;
    }

    /**
     * Creates a rate without events.
     *
     * @param constantSeconds the time after which an event counts 1/e as much, in seconds
     * @param now the time, in nanoseconds
     * @return the rate
     */
    static SmoothedRate since(double constantSeconds, long now) {
        return new SmoothedRate(constantSeconds, now);
    }

    /** Adds events, or takes some back if the number is negative. */
    void add(int events, long now) {
        weighted = decayed(now) + events;
        updatedNanos = Math.max(updatedNanos, now);
    }

    /** Returns the rate per second; not negative, and 0 at the time of creation. */
    double perSecond(long now) {
        double covered = 1 - decay(now - startNanos);
        return covered <= 0 ? 0 : Math.max(0, decayed(now)) / (constantSeconds * covered);
    }

    private double decayed(long now) {
        return weighted * decay(now - updatedNanos);
    }

    private double decay(long nanos) {
        return Math.exp(-Math.max(0, nanos) / NANOS_PER_SECOND / constantSeconds);
    }
}
