package org.verbenadyke.kernel.quota;

/**
 * How permits are leased, requested and waited for.
 *
 * @param leaseNanos how long leased permits may be used, in nanoseconds
 * @param marginNanos how much longer the allocator counts the permits as leased, in nanoseconds: covers messages in
 *     transit
 * @param horizonNanos how far ahead a node requests permits for its expected use, in nanoseconds
 * @param allocatorTimeoutNanos how long a request waits for the allocator's answer, in nanoseconds
 * @param maxWaitNanos how long a request waits for a permit that is about to become free, in nanoseconds
 * @param maxBlockNanos the longest that a node refuses a team without a query after the allocator granted nothing, in
 *     nanoseconds
 * @param tolerance by how much a limit may be exceeded
 */
public record QuotaSettings(
        long leaseNanos,
        long marginNanos,
        long horizonNanos,
        long allocatorTimeoutNanos,
        long maxWaitNanos,
        long maxBlockNanos,
        QuotaTolerance tolerance) {
    private static final long MILLI = 1_000_000L;

    /**
     * Returns the default settings.
     *
     * @param tolerance by how much a limit may be exceeded
     * @return the settings
     */
    public static QuotaSettings with(QuotaTolerance tolerance) {
        return new QuotaSettings(
                2_000 * MILLI, 500 * MILLI, 1_000 * MILLI, 200 * MILLI, 30 * MILLI, 200 * MILLI, tolerance);
    }
}
