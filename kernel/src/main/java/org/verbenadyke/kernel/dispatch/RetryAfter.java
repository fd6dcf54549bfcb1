package org.verbenadyke.kernel.dispatch;

import java.util.random.RandomGenerator;

/**
 * Spreads the times at which refused callers come back.
 */
public final class RetryAfter {
    private static final int MAX_FACTOR = 3;

    private RetryAfter() {}

    /**
     * Draws a time.
     *
     * @param leastMillis the least, in milliseconds
     * @param random where randomness comes from
     * @return a time from the least to three times the least, in milliseconds
     */
    public static long spread(long leastMillis, RandomGenerator random) {
        if (leastMillis <= 0) {
            return 0;
        }
        return leastMillis + random.nextLong(leastMillis * (MAX_FACTOR - 1) + 1);
    }
}
