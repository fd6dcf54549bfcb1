package org.verbenadyke.kernel.cost;

/**
 * A rate of answers, smoothed exponentially.
 *
 * @param atLastPerSecond the rate at the last answer, in answers per second
 * @param lastNanos when the last answer came
 */
record AnswerRate(double atLastPerSecond, long lastNanos) {
    /** The time constant: long enough for a kind that is answered a few times per second, in seconds. */
    private static final double TIME_CONSTANT_SECONDS = 10;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the rate after one more answer; {@code before} is null for the first one. */
    static AnswerRate after(AnswerRate before, long nowNanos) {
        double decayed = before == null ? 0 : before.perSecond(nowNanos);
        return new AnswerRate(decayed + 1 / TIME_CONSTANT_SECONDS, nowNanos);
    }

    /** Returns the rate at a time, in answers per second. */
    double perSecond(long nowNanos) {
        double elapsedSeconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
        return atLastPerSecond * Math.exp(-elapsedSeconds / TIME_CONSTANT_SECONDS);
    }
}
