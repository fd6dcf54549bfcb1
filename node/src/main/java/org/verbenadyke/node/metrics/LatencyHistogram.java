package org.verbenadyke.node.metrics;

import java.util.concurrent.TimeUnit;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * How long requests took, from when they were read to when their answer was complete. Safe for many threads.
 */
public final class LatencyHistogram {
    /** The longest latency told apart, in microseconds: no request is kept longer than a minute. */
    private static final long MOST_MICROS = 60_000_000L;

    /** Significant digits: one in a hundred is enough to see a change, and keeps the histogram at some kilobytes. */
    private static final int DIGITS = 2;

    private final Histogram histogram = new ConcurrentHistogram(MOST_MICROS, DIGITS);

    private LatencyHistogram() {}

    /**
     * Creates a histogram without values.
     *
     * @return the histogram
     */
    public static LatencyHistogram create() {
        return new LatencyHistogram();
    }

    /**
     * Records one request.
     *
     * @param nanos how long it took, in nanoseconds
     */
    public void record(long nanos) {
        histogram.recordValue(Math.min(MOST_MICROS, TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos))));
    }

    /**
     * Returns how many were recorded.
     *
     * @return the number
     */
    public long count() {
        return histogram.getTotalCount();
    }

    /**
     * Returns a percentile.
     *
     * @param percent which, from 0 to 100
     * @return microseconds
     */
    public long percentileMicros(double percent) {
        return histogram.getValueAtPercentile(percent);
    }
}
