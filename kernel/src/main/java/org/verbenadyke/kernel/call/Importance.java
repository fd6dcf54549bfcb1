package org.verbenadyke.kernel.call;

/**
 * Importance of a request, in ascending order. Set by the operators' rules at the node where the request enters the
 * system, and inherited by all nested calls.
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

    /** Number of ranks over all importances and buckets. */
    public static final int RANKS = values().length * RequestId.BUCKETS;

    /**
     * Added to the rank of a request whose caller was refused and retries after a Retry-After, within the band of its
     * importance. Load pattern: lasting overload, in which a caller that retries after the requested delay would
     * otherwise be refused again as likely as a new caller. Less than half a band, so that not
     * all new requests are refused first. Both kinds spread over as many ranks as are left, so that a level high in the
     * band refuses nearly all of either kind.
     */
    private static final int RETURNING_CALLER_BOOST = 96;

    /**
     * The ranks at the bottom of a band for the surplus of teams. Few, so that nearly all surplus is refused before
     * other requests of the band; more than one, so that a level can refuse a part of it.
     */
    private static final int SURPLUS_RANKS = 8;

    /**
     * Combines importance and bucket into the rank that is compared with the admission level.
     *
     * @param request the request
     * @param returning whether the caller was refused before and retries after a Retry-After
     * @return the rank, from 0 to {@link #RANKS} - 1; higher ranks are shed later
     */
    public int rank(RequestId request, boolean returning) {
        int scaledBucket = request.bucket() * (RequestId.BUCKETS - RETURNING_CALLER_BOOST) / RequestId.BUCKETS;
        return ordinal() * RequestId.BUCKETS + scaledBucket + (returning ? RETURNING_CALLER_BOOST : 0);
    }

    /**
     * Returns the rank of a request that belongs to the surplus of its team.
     *
     * @param request the request
     * @return the rank, at the bottom of the band of this importance
     */
    public int surplusRank(RequestId request) {
        return ordinal() * RequestId.BUCKETS + request.bucket() * SURPLUS_RANKS / RequestId.BUCKETS;
    }
}
