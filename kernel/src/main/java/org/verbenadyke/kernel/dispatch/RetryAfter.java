package org.verbenadyke.kernel.dispatch;

import java.util.random.RandomGenerator;

/**
 * Randomizes Retry-After delays, so that refused callers don't all retry at the same time.
 */
public final class RetryAfter {
    private static final int MAX_FACTOR = 3;

    private RetryAfter() {}

    /**
     * Draws a random delay.
     *
     * @param minMillis the minimum delay, in milliseconds
     * @param random the random generator
     * @return a delay between the minimum and three times the minimum, in milliseconds; 0 without a positive minimum
     */
    public static long spread(long minMillis, RandomGenerator random) {
        if (minMillis <= 0) {
            return 0;
        }
        return minMillis + random.nextLong(minMillis * (MAX_FACTOR - 1) + 1);
    }
}
