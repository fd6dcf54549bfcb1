package org.verbenadyke.kernel.quota;

import org.verbenadyke.kernel.team.RateLimit;

/**
 * By how much the operators let a team exceed its limit: in any window at most
 * {@code (rate * window + burst) * (1 + over) + slack} requests.
 *
 * @param windowNanos the window, in nanoseconds
 * @param over the share of the limit
 * @param slack requests on top, whatever the limit
 */
public record QuotaTolerance(long windowNanos, double over, double slack) {
    private static final double SECOND = 1e9;

    /**
     * The share of the tolerance that is saved up like the burst. Load pattern: small teams whose few requests come in
     * clumps. The rest covers what overlaps while dealers change.
     */
    private static final double SAVED_SHARE = 0.5;

    /**
     * Returns the tolerance where the operators allow none.
     *
     * @return no request beyond the limit
     */
    public static QuotaTolerance none() {
        return new QuotaTolerance(0, 0, 0);
    }

    /**
     * Returns how many requests may be saved up for a team.
     *
     * @param limit its limit
     * @return the burst and a part of the tolerance, at least one
     */
    public double capacity(RateLimit limit) {
        double allowed = over * (limit.perSecond() * windowNanos / SECOND + limit.burst()) + slack;
        return Math.max(1, limit.burst() + SAVED_SHARE * allowed);
    }
}
