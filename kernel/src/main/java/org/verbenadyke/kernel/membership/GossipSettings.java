package org.verbenadyke.kernel.membership;

/**
 * How updates spread and failures are detected.
 *
 * @param roundNanos the time between two rounds, in nanoseconds
 * @param ackNanos how long a direct answer may take, in nanoseconds
 * @param probeNanos how long an indirect answer may take, in nanoseconds
 * @param suspectNanos how long a suspected node has to refute the suspicion, in nanoseconds
 * @param pushNanos how long updates are collected before they are pushed to other nodes, in nanoseconds
 * @param fanOut how many nodes one push is sent to
 * @param retentionNanos how long members that left or died are kept, in nanoseconds
 */
public record GossipSettings(
        long roundNanos,
        long ackNanos,
        long probeNanos,
        long suspectNanos,
        long pushNanos,
        int fanOut,
        long retentionNanos) {
    private static final long MILLI = 1_000_000L;
    private static final long DEFAULT_ROUND_MILLIS = 250;
    private static final long DEFAULT_ACK_MILLIS = 400;
    private static final long DEFAULT_PROBE_MILLIS = 600;
    private static final long DEFAULT_SUSPECT_MILLIS = 2_000;
    private static final long DEFAULT_PUSH_MILLIS = 10;
    private static final int DEFAULT_FAN_OUT = 4;
    private static final long DEFAULT_RETENTION_MILLIS = 7_200_000;

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static GossipSettings standard() {
        return new GossipSettings(
                DEFAULT_ROUND_MILLIS * MILLI,
                DEFAULT_ACK_MILLIS * MILLI,
                DEFAULT_PROBE_MILLIS * MILLI,
                DEFAULT_SUSPECT_MILLIS * MILLI,
                DEFAULT_PUSH_MILLIS * MILLI,
                DEFAULT_FAN_OUT,
                DEFAULT_RETENTION_MILLIS * MILLI);
    }
}
