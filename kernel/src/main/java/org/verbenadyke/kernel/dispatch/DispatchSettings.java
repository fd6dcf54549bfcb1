package org.verbenadyke.kernel.dispatch;

/**
 * How requests are retried.
 *
 * @param retryRatio retries per success between a pair of services; 0 or less turns the bound off
 * @param maxSavedRetries how many of them can be saved up
 * @param retryPerHop whether each hop retries by itself, as the baseline does
 * @param attemptTimeoutNanos after how long one try counts as lost, in nanoseconds; 0 to wait until the deadline
 * @param ratioCoversLostConnections whether the ratio also bounds the retries after a lost connection
 * @param nestedCallsExempt whether calls inside a chain are sent whatever level their upstream reports
 * @param retryAfterMillis the least time after which a refused caller may come back, in milliseconds
 */
public record DispatchSettings(
        double retryRatio,
        int maxSavedRetries,
        boolean retryPerHop,
        long attemptTimeoutNanos,
        boolean ratioCoversLostConnections,
        boolean nestedCallsExempt,
        long retryAfterMillis) {
    private static final double DEFAULT_RATIO = 0.1;
    private static final int DEFAULT_BURST = 20;
    private static final long BASELINE_TRY_NANOS = 500_000_000L;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    /**
     * Returns the settings in use unless others are given.
     *
     * @return the settings
     */
    public static DispatchSettings standard() {
        return new DispatchSettings(DEFAULT_RATIO, DEFAULT_BURST, false, 0, false, false, DEFAULT_RETRY_AFTER_MILLIS);
    }

    /**
     * Returns the settings of the baseline.
     *
     * @return the settings
     */
    public static DispatchSettings baseline() {
        return new DispatchSettings(0, 0, true, BASELINE_TRY_NANOS, false, false, DEFAULT_RETRY_AFTER_MILLIS);
    }
}
