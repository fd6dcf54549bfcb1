package org.verbenadyke.kernel.dispatch;

/**
 * Settings for retries of requests.
 *
 * @param retryRatio retries allowed per success between a pair of services; 0 or less disables the limit
 * @param maxSavedRetries how many of the allowed retries can be saved up
 * @param retryPerHop whether each hop retries on its own, as in the baseline
 * @param attemptTimeoutNanos the timeout of one attempt, in nanoseconds; 0 to wait until the deadline
 * @param allowanceCharged whether retries of calls that may have reached an upstream draw on the allowance of the node
 *     where the request entered; the ratio then limits only the others
 * @param nestedCallsExempt whether calls inside a chain are sent regardless of the admission level that their upstream
 *     reports
 * @param brokenRetriedElsewhere whether a call is retried at another upstream when its own connection to the upstream
 *     broke, as long as there is one that is not ejected
 * @param retryAfterMillis the minimum Retry-After delay of a refused caller, in milliseconds
 */
public record DispatchSettings(
        double retryRatio,
        int maxSavedRetries,
        boolean retryPerHop,
        long attemptTimeoutNanos,
        boolean allowanceCharged,
        boolean nestedCallsExempt,
        boolean brokenRetriedElsewhere,
        long retryAfterMillis) {
    private static final double DEFAULT_RATIO = 0.1;
    private static final int DEFAULT_BURST = 20;
    private static final long BASELINE_ATTEMPT_TIMEOUT_NANOS = 500_000_000L;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static DispatchSettings standard() {
        return new DispatchSettings(
                DEFAULT_RATIO, DEFAULT_BURST, false, 0, false, false, false, DEFAULT_RETRY_AFTER_MILLIS);
    }

    /**
     * Returns the settings of the baseline, without a retry ratio.
     *
     * @return the settings
     */
    public static DispatchSettings baseline() {
        return new DispatchSettings(
                0, 0, true, BASELINE_ATTEMPT_TIMEOUT_NANOS, false, false, false, DEFAULT_RETRY_AFTER_MILLIS);
    }
}
