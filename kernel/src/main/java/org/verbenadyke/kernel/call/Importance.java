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
     * How far up in its band a request begins whose caller was refused and came back, in ranks. Load pattern: lasting
     * overload, in which a caller that comes back as told would else be refused again as likely as a new one. Less than
     * half a band, so that new requests are not all sent away first. Both kinds spread over as many ranks as are left,
     * so that a level high in the band shuts out nearly all of either.
     */
    private static final int RETURNING_CALLER_BOOST = 96;

    /**
     * Combines importance and bucket into the rank that admission compares with its level.
     *
     * @param request the request
     * @param returning whether its caller was refused and came back
     * @return the rank, from 0 to {@link #RANKS} - 1; higher is shed later
     */
    public int rank(RequestId request, boolean returning) {
        int spread = request.bucket() * (RequestId.BUCKETS - RETURNING_CALLER_BOOST) / RequestId.BUCKETS;
        return ordinal() * RequestId.BUCKETS + spread + (returning ? RETURNING_CALLER_BOOST : 0);
    }
}
