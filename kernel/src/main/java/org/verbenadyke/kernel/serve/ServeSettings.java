package org.verbenadyke.kernel.serve;

/**
 * Settings for served calls.
 *
 * @param maxTtlNanos the maximum time to live of a call, in nanoseconds
 * @param fenceGraceNanos the grace period by which the clock reading of a call may exceed the call's time to live in
 *     age, in nanoseconds
 * @param stallNanos the timeout of an answer that makes no progress, in nanoseconds
 * @param initialCreditBytes the flow-control credit of an answer before the caller grants more, in bytes
 * @param maxStoredBytes the maximum size of an answer that is stored to be sent again, in bytes
 * @param storedAnswersBytes the limit of all answers that are stored to be sent again, in bytes
 * @param retryAfterMillis the minimum Retry-After delay of a refused caller, in milliseconds
 */
public record ServeSettings(
        long maxTtlNanos,
        long fenceGraceNanos,
        long stallNanos,
        int initialCreditBytes,
        int maxStoredBytes,
        long storedAnswersBytes,
        long retryAfterMillis) {
    private static final long SECOND = 1_000_000_000L;
    private static final long DEFAULT_TTL_SECONDS = 30;
    private static final long DEFAULT_GRACE_SECONDS = 8;
    private static final long DEFAULT_STALL_SECONDS = 10;
    private static final int DEFAULT_INITIAL_CREDIT_BYTES = 128 * 1024;
    private static final int DEFAULT_MAX_STORED_BYTES = 64 * 1024;

    /**
     * Some seconds of answers at a high rate: an answer is inquired about within a second or two after its link broke.
     */
    private static final long DEFAULT_STORED_ANSWERS_BYTES = 8L * 1024 * 1024;

    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static ServeSettings standard() {
        return new ServeSettings(
                DEFAULT_TTL_SECONDS * SECOND,
                DEFAULT_GRACE_SECONDS * SECOND,
                DEFAULT_STALL_SECONDS * SECOND,
                DEFAULT_INITIAL_CREDIT_BYTES,
                DEFAULT_MAX_STORED_BYTES,
                DEFAULT_STORED_ANSWERS_BYTES,
                DEFAULT_RETRY_AFTER_MILLIS);
    }
}
