package org.verbenadyke.kernel.dispatch;

import java.util.random.RandomGenerator;

/**
 * Chooses the Retry-After delay of a refused caller.
 *
 * <p>Load pattern: overload that lasts for seconds, and requests whose target latency is little more than their service
 * time. A caller that retries after the usual delay is then served late, and holds a slot as long as one that is served
 * in time. So the delay ends while the answer can still arrive in time. A caller without slack, or with so little that
 * an immediate retry would be refused again, gets the usual delay.
 */
final class RetryDelay {
    /** The shortest time in which the load can have changed: a few windows of the admission level, in milliseconds. */
    private static final long MIN_MILLIS = 100;

    private RetryDelay() {}

    /**
     * Chooses a delay.
     *
     * @param usualMillis the usual delay, drawn for the caller, in milliseconds
     * @param slackMillis how long the caller can wait before the retry and still be answered in time, in milliseconds
     * @param random the random generator
     * @return the delay in milliseconds, randomized so that callers don't all retry at the same time
     */
    static long millis(long usualMillis, long slackMillis, RandomGenerator random) {
        if (slackMillis < MIN_MILLIS || usualMillis <= slackMillis) {
            return usualMillis;
        }
        long min = Math.max(MIN_MILLIS, slackMillis / 2);
        return min + random.nextLong(slackMillis - min + 1);
    }
}
