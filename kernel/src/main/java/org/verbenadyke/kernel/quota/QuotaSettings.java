package org.verbenadyke.kernel.quota;

/**
 * How permits are dealt and kept.
 *
 * @param leaseNanos how long permits that were dealt may be used, in nanoseconds
 * @param marginNanos how much longer the dealer counts them as held, in nanoseconds: messages on their way
 * @param horizonNanos for how long a node asks for permits ahead, in nanoseconds
 * @param patienceNanos how long a request waits for the dealer's answer, in nanoseconds
 * @param holdNanos how long a request waits for a permit that falls due, in nanoseconds
 * @param blockMostNanos how long at the most a node refuses a team by itself after the dealer had nothing, in
 *     nanoseconds
 * @param tolerance by how much a limit may be exceeded
 */
public record QuotaSettings(
        long leaseNanos,
        long marginNanos,
        long horizonNanos,
        long patienceNanos,
        long holdNanos,
        long blockMostNanos,
        QuotaTolerance tolerance) {
    private static final long MILLI = 1_000_000L;

    /**
     * Returns the settings in use.
     *
     * @param tolerance by how much a limit may be exceeded
     * @return the settings
     */
    public static QuotaSettings with(QuotaTolerance tolerance) {
        return new QuotaSettings(
                2_000 * MILLI, 500 * MILLI, 1_000 * MILLI, 200 * MILLI, 30 * MILLI, 200 * MILLI, tolerance);
    }
}
