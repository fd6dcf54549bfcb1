package org.verbenadyke.kernel.call;

/**
 * How much a request matters, from the least to the most. Set by the operators' rules where a request enters and
 * inherited by all calls below.
 */
public enum Importance {
    /** Shed first. */
    LOW,
    /** The default. */
    NORMAL,
    /** Shed after normal requests. */
    HIGH,
    /** Shed last. */
    CRITICAL;

    /** How many ranks exist over all importances and buckets. */
    public static final int RANKS = values().length * RequestId.BUCKETS;

    /**
     * Combines importance and bucket into the rank that admission compares with its level.
     *
     * @param request the request
     * @return the rank, from 0 to {@link #RANKS} - 1; higher is shed later
     */
    public int rank(RequestId request) {
        return ordinal() * RequestId.BUCKETS + request.bucket();
    }

    /**
     * Returns the highest rank of this importance.
     *
     * @return the rank
     */
    public int highestRank() {
        return (ordinal() + 1) * RequestId.BUCKETS - 1;
    }
}
