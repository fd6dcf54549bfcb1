package org.verbenadyke.kernel.budget;

/**
 * How many retries all nodes together may make of the calls to a service.
 *
 * @param ratio repetitions allowed per request that callers send for the service
 * @param windowNanos the window in which repetitions and requests are counted, in nanoseconds; 0 for no limit
 * @param slack repetitions allowed in each window beyond that, over all nodes
 */
public record AllowanceSettings(double ratio, long windowNanos, double slack) {
    /** No limit. */
    public static final AllowanceSettings UNLIMITED = new AllowanceSettings(0, 0, 0);

    /**
     * Returns whether retries are limited.
     *
     * @return whether there is a window
     */
    public boolean limited() {
        return windowNanos > 0;
    }
}
