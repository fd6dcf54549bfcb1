package org.verbenadyke.kernel.serve;

/**
 * How calls are served.
 *
 * @param maxTtlNanos the longest time to live of a call, in nanoseconds
 * @param fenceGraceNanos how much older than its time to live a call's proof of freshness may be, in nanoseconds
 * @param answerIdleNanos how long an upstream may be silent within an answer, in nanoseconds
 * @param initialCreditBytes how much of an answer is sent before the caller allows more, in bytes
 * @param maxStoredBytes the largest answer that is kept for a caller who asks again, in bytes
 * @param retryAfterMillis the least time after which a refused caller may come back, in milliseconds
 */
public record ServeSettings(
        long maxTtlNanos, long fenceGraceNanos, long answerIdleNanos, int initialCreditBytes, int maxStoredBytes, long retryAfterMillis) {
    private static final long SECOND = 1_000_000_000L;
    private static final long DEFAULT_TTL_SECONDS = 30;
    private static final long DEFAULT_GRACE_SECONDS = 8;
    private static final long DEFAULT_IDLE_SECONDS = 10;
    private static final int DEFAULT_INITIAL_CREDIT_BYTES = 256 * 1024;
    private static final int DEFAULT_MAX_STORED_BYTES = 64 * 1024;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    /**
     * Returns the settings in use unless others are given.
     *
     * @return the settings
     */
    public static ServeSettings standard() {
        return new ServeSettings(
                DEFAULT_TTL_SECONDS * SECOND,
                DEFAULT_GRACE_SECONDS * SECOND,
                DEFAULT_IDLE_SECONDS * SECOND,
                DEFAULT_INITIAL_CREDIT_BYTES,
                DEFAULT_MAX_STORED_BYTES,
                DEFAULT_RETRY_AFTER_MILLIS);
    }
}
