package org.verbenadyke.node.metrics;

import java.util.concurrent.TimeUnit;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * A histogram of request latencies, from when a request was read to when its answer was complete. Thread-safe.
 */
public final class LatencyHistogram {
    /** The highest trackable latency, in microseconds: no request is kept longer than a minute. */
    private static final long MAX_MICROS = 60_000_000L;

    /** The precision: one percent is enough to see a change, and keeps the histogram at some kilobytes. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Histogram histogram = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);

    private LatencyHistogram() {}

    /**
     * Creates an empty histogram.
     *
     * @return the histogram
     */
    public static LatencyHistogram create() {
        return new LatencyHistogram();
    }

    /**
     * Records the latency of one request.
     *
     * @param nanos the latency, in nanoseconds
     */
    public void record(long nanos) {
        histogram.recordValue(Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos))));
    }

    /**
     * Returns the number of recorded requests.
     *
     * @return the number
     */
    public long count() {
        return histogram.getTotalCount();
    }

    /**
     * Returns a percentile of the latencies.
     *
     * @param percent the percentile, from 0 to 100
     * @return the latency in microseconds
     */
    public long percentileMicros(double percent) {
        return histogram.getValueAtPercentile(percent);
    }
}
