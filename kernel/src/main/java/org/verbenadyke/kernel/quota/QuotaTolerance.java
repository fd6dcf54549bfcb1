package org.verbenadyke.kernel.quota;

import org.verbenadyke.kernel.team.RateLimit;

/**
 * By how much the operators let a team exceed its limit. In any window a team gets at most
 * {@code (rate * window + burst) * (1 + over) + slack} requests.
 *
 * @param windowNanos the window, in nanoseconds
 * @param over the tolerated excess as a share of the limit
 * @param slack tolerated extra requests, whatever the limit
 */
public record QuotaTolerance(long windowNanos, double over, double slack) {
    private static final double SECOND = 1e9;

    /**
     * The share of the tolerance that adds to the bucket's capacity, like the burst. Load pattern: small teams whose
     * few requests come in bursts. The rest covers leases that overlap while allocators change.
     */
    private static final double SAVED_SHARE = 0.5;

    /**
     * Returns a tolerance of zero.
     *
     * @return no request beyond the limit
     */
    public static QuotaTolerance none() {
        return new QuotaTolerance(0, 0, 0);
    }

    /**
     * Returns how many permits a team's bucket holds.
     *
     * @param limit the team's limit
     * @return the burst and a part of the tolerance, at least one
     */
    public double capacity(RateLimit limit) {
        double allowed = over * (limit.perSecond() * windowNanos / SECOND + limit.burst()) + slack;
        return Math.max(1, limit.burst() + SAVED_SHARE * allowed);
    }
}
