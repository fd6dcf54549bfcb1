package org.verbenadyke.kernel.owner;

/**
 * How long the ownership of a key may be in doubt.
 *
 * @param keyRetentionNanos how long a key is retained, and so for how long an earlier owner may have run it, in
 *     nanoseconds
 * @param maxSkewMillis by how much the clocks of callers and nodes may differ, in milliseconds
 * @param queryTimeoutNanos how long a former owner may take to reply, in nanoseconds
 * @param isolatedAfterNanos how long this node claims keys without receiving anything from other nodes, in nanoseconds
 */
public record OwnerSettings(
        long keyRetentionNanos, long maxSkewMillis, long queryTimeoutNanos, long isolatedAfterNanos) {
    private static final long SECOND = 1_000_000_000L;
    private static final long DEFAULT_SKEW_MILLIS = 1_000;
    private static final long DEFAULT_ISOLATED_SECONDS = 2;

    /**
     * Returns the default settings.
     *
     * @param keyRetentionNanos how long a key is retained, in nanoseconds
     * @return the settings
     */
    public static OwnerSettings withRetention(long keyRetentionNanos) {
        return new OwnerSettings(keyRetentionNanos, DEFAULT_SKEW_MILLIS, SECOND, DEFAULT_ISOLATED_SECONDS * SECOND);
    }
}
