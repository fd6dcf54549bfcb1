package org.verbenadyke.kernel.follow;

/**
 * How many nodes follow the operators' record, and when substitutes for them follow.
 *
 * @param followers how many nodes follow while all is well, spread evenly over the data centres, with at least one in
 *     each
 * @param settleNanos how long a node that has just started leaves the following to others, in nanoseconds
 * @param boundNanos how long a change may take until it is in force everywhere, in nanoseconds
 * @param timeoutNanos how old the newest known answer of the store may be before substitutes read, in nanoseconds
 * @param firstTimeoutNanos the same for a node that knows no routes yet, in nanoseconds
 * @param turnNanos how long the substitutes of a turn have before the next ones try, in nanoseconds
 * @param substitutesPerTurn how many nodes substitute in the first turn; {@link FollowDuty} has the later ones
 */
public record FollowSettings(
        int followers,
        long settleNanos,
        long boundNanos,
        long timeoutNanos,
        long firstTimeoutNanos,
        long turnNanos,
        int substitutesPerTurn) {
    /** The shortest bound, in milliseconds: nodes check ten times a second whether to read. */
    public static final long MIN_BOUND_MILLIS = 1_000;

    private static final long MILLI = 1_000_000L;

    /** With a third of the nodes partitioned, all six are partitioned in 1 of 700 cases; substitutes read then. */
    private static final int DEFAULT_FOLLOWERS = 6;

    /** Four rounds of gossip, after which a node knows most others. */
    private static final long DEFAULT_SETTLE_MILLIS = 1_000;

    /** How long a change may take where the operators state no bound. */
    private static final long DEFAULT_BOUND_MILLIS = 2_000;

    /**
     * The share of the bound after which substitutes read. The rest is for three turns and for the spreading of what
     * they read.
     */
    private static final double TIMEOUT_SHARE = 0.5;

    /** The share of the bound that a turn lasts: the store answers in milliseconds. */
    private static final double TURN_SHARE = 0.15;

    /**
     * Short, as callers wait: after a power loss everywhere, twelve nodes had the routes 12 to 141 ms after their
     * start.
     */
    private static final long DEFAULT_FIRST_TIMEOUT_MILLIS = 500;

    /** With a third of the nodes rejected by the store, all three fail in 4 of 100 turns. */
    private static final int DEFAULT_SUBSTITUTES_PER_TURN = 3;

    /**
     * Returns the settings for the default bound.
     *
     * @return the settings
     */
    public static FollowSettings standard() {
        return within(DEFAULT_BOUND_MILLIS * MILLI);
    }

    /**
     * Returns the settings for a bound.
     *
     * @param boundNanos how long a change may take until it is in force everywhere, in nanoseconds
     * @return the settings
     */
    public static FollowSettings within(long boundNanos) {
        return new FollowSettings(
                DEFAULT_FOLLOWERS,
                DEFAULT_SETTLE_MILLIS * MILLI,
                boundNanos,
                (long) (boundNanos * TIMEOUT_SHARE),
                DEFAULT_FIRST_TIMEOUT_MILLIS * MILLI,
                (long) (boundNanos * TURN_SHARE),
                DEFAULT_SUBSTITUTES_PER_TURN);
    }
}
