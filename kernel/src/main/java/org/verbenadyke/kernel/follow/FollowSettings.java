package org.verbenadyke.kernel.follow;

/**
 * How many nodes read the operators' record, and when others step in.
 *
 * @param readers how many nodes read while all is well, shared evenly by the data centres, each having one at least
 * @param settleNanos how long a node that has just started leaves the reading to others, in nanoseconds
 * @param patienceNanos how old the last sign of a reader may be before others step in, in nanoseconds
 * @param firstPatienceNanos the same for a node that knows no routes yet, in nanoseconds
 * @param turnNanos how long those that stepped in have before the next ones do, in nanoseconds
 * @param vanguard how many nodes step in at a turn
 */
public record FollowSettings(
        int readers, long settleNanos, long patienceNanos, long firstPatienceNanos, long turnNanos, int vanguard) {
    private static final long MILLI = 1_000_000L;

    /** With a third of the nodes cut off, six of them all are in 1 of 700 cases, and others step in then. */
    private static final int DEFAULT_READERS = 6;

    /** Four rounds of gossip, by which a node has heard of most others. */
    private static final long DEFAULT_SETTLE_MILLIS = 1_000;

    /** Six rounds of gossip. With it a fleet of 13 to 96 nodes has a reader again within 2.5 s (virtual clock). */
    private static final long DEFAULT_PATIENCE_MILLIS = 1_500;

    /** After a loss of power everywhere twelve nodes had the routes 12 to 141 ms after their start; callers wait. */
    private static final long DEFAULT_FIRST_PATIENCE_MILLIS = 500;

    /** Two rounds of gossip, in which the sign of one that succeeded spreads; the store answers in milliseconds. */
    private static final long DEFAULT_TURN_MILLIS = 500;

    /** With a third of the nodes turned away, three of them all fail in 4 of 100 turns. */
    private static final int DEFAULT_VANGUARD = 3;

    /**
     * Returns the settings in use unless others are given.
     *
     * @return the settings
     */
    public static FollowSettings standard() {
        return new FollowSettings(
                DEFAULT_READERS,
                DEFAULT_SETTLE_MILLIS * MILLI,
                DEFAULT_PATIENCE_MILLIS * MILLI,
                DEFAULT_FIRST_PATIENCE_MILLIS * MILLI,
                DEFAULT_TURN_MILLIS * MILLI,
                DEFAULT_VANGUARD);
    }
}
