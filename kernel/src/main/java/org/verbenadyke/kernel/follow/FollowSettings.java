package org.verbenadyke.kernel.follow;

/**
 * How many nodes follow the operators' record, and when substitutes for them follow.
 *
 * @param followers how many nodes follow while all is well, spread evenly over the data centres, with at least one in
 *     each
 * @param settleNanos how long a node that has just started leaves the following to others, in nanoseconds
 * @param timeoutNanos how old the newest follower heartbeat may be before substitutes follow, in nanoseconds
 * @param firstTimeoutNanos the same for a node that knows no routes yet, in nanoseconds
 * @param turnNanos how long the substitutes of a turn have before the next ones try, in nanoseconds
 * @param substitutesPerTurn how many nodes substitute in a turn
 */
public record FollowSettings(
        int followers,
        long settleNanos,
        long timeoutNanos,
        long firstTimeoutNanos,
        long turnNanos,
        int substitutesPerTurn) {
    private static final long MILLI = 1_000_000L;

    /** With a third of the nodes partitioned, all six are partitioned in 1 of 700 cases; substitutes follow then. */
    private static final int DEFAULT_FOLLOWERS = 6;

    /** Four rounds of gossip, after which a node knows most others. */
    private static final long DEFAULT_SETTLE_MILLIS = 1_000;

    /** Six rounds of gossip. A fleet of 13 to 96 nodes then has a follower again within 2.5 s (virtual clock). */
    private static final long DEFAULT_TIMEOUT_MILLIS = 1_500;

    /**
     * Short, as callers wait: after a power loss everywhere, twelve nodes had the routes 12 to 141 ms after their
     * start.
     */
    private static final long DEFAULT_FIRST_TIMEOUT_MILLIS = 500;

    /**
     * Two rounds of gossip, in which the heartbeat of a successful substitute spreads; the store answers in
     * milliseconds.
     */
    private static final long DEFAULT_TURN_MILLIS = 500;

    /** With a third of the nodes rejected by the store, all three fail in 4 of 100 turns. */
    private static final int DEFAULT_SUBSTITUTES_PER_TURN = 3;

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static FollowSettings standard() {
        return new FollowSettings(
                DEFAULT_FOLLOWERS,
                DEFAULT_SETTLE_MILLIS * MILLI,
                DEFAULT_TIMEOUT_MILLIS * MILLI,
                DEFAULT_FIRST_TIMEOUT_MILLIS * MILLI,
                DEFAULT_TURN_MILLIS * MILLI,
                DEFAULT_SUBSTITUTES_PER_TURN);
    }
}
