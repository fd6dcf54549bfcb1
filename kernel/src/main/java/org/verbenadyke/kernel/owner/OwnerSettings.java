package org.verbenadyke.kernel.owner;

/**
 * How long doubts about a key's owner last.
 *
 * @param keyRetentionNanos how long a key is kept, and so for how long an earlier owner may have run it, in nanoseconds
 * @param skewMillis by how much the clocks of callers and nodes may differ, in milliseconds
 * @param askNanos how long a former owner may take to answer, in nanoseconds
 * @param isolatedAfterNanos after how long without a word from other nodes this one takes no keys, in nanoseconds
 */
public record OwnerSettings(long keyRetentionNanos, long skewMillis, long askNanos, long isolatedAfterNanos) {
    private static final long SECOND = 1_000_000_000L;
    private static final long DEFAULT_SKEW_MILLIS = 1_000;
    private static final long DEFAULT_ISOLATED_SECONDS = 2;

    /**
     * Returns the settings in use unless others are given.
     *
     * @param keyRetentionNanos how long a key is kept, in nanoseconds
     * @return the settings
     */
    public static OwnerSettings withRetention(long keyRetentionNanos) {
        return new OwnerSettings(keyRetentionNanos, DEFAULT_SKEW_MILLIS, SECOND, DEFAULT_ISOLATED_SECONDS * SECOND);
    }
}
