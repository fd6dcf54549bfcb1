package org.verbenadyke.kernel.dispatch;

import java.util.random.RandomGenerator;

/**
 * When a refused caller is to come back.
 *
 * <p>Load pattern: overload that lasts for seconds, and requests whose target latency is little more than their work. A
 * caller that comes back after the usual pause is then served late, and holds a place as long as one that is served in
 * time. So the pause ends while the answer can still come in time. A caller that has no such time left, or one so short
 * that it would only be refused again at once, is told the usual pause.
 */
final class RetryDelay {
    /** The shortest time in which a load can have changed: some windows of the admission level, in milliseconds. */
    private static final long MIN_MILLIS = 100;

    private RetryDelay() {}

    /**
     * Chooses a time.
     *
     * @param usualMillis the usual pause, drawn for this caller, in milliseconds
     * @param spareMillis how long the caller can stay away and still be answered in time, in milliseconds
     * @param random where randomness comes from
     * @return the pause in milliseconds, spread so that callers don't come back together
     */
    static long millis(long usualMillis, long spareMillis, RandomGenerator random) {
        if (spareMillis < MIN_MILLIS || usualMillis <= spareMillis) {
            return usualMillis;
        }
        long least = Math.max(MIN_MILLIS, spareMillis / 2);
        return least + random.nextLong(spareMillis - least + 1);
    }
}
