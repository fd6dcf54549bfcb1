package org.verbenadyke.kernel.dispatch;

/**
 * How requests are retried.
 *
 * @param ratio retries per success between a pair of services; 0 or less turns the bound off
 * @param burst how many of them can be saved up
 * @param perHop whether each hop retries by itself, as the baseline does
 * @param retryAfterMillis the least time after which a refused caller may come back, in milliseconds
 */
public record DispatchSettings(double ratio, int burst, boolean perHop, long retryAfterMillis) {
    private static final double DEFAULT_RATIO = 0.1;
    private static final int DEFAULT_BURST = 20;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    /**
     * Returns the settings in use unless others are given.
     *
     * @return the settings
     */
    public static DispatchSettings standard() {
        return new DispatchSettings(DEFAULT_RATIO, DEFAULT_BURST, false, DEFAULT_RETRY_AFTER_MILLIS);
    }

    /**
     * Returns the settings of the baseline.
     *
     * @return the settings
     */
    public static DispatchSettings baseline() {
        return new DispatchSettings(0, 0, true, DEFAULT_RETRY_AFTER_MILLIS);
    }
}
