package org.verbenadyke.kernel.quota;

/**
 * The surplus share of a team's demand as its allocator reported it last. It fades without a new report, so that a team
 * whose allocator is gone is ranked as others are.
 *
 * @param share the share at the time of the report
 * @param atNanos the time of the report, in nanoseconds
 */
record ReportedSurplus(double share, long atNanos) {
    /** How long a report holds unchanged, in nanoseconds: nodes in use of permits request more about every second. */
    private static final long HOLD_NANOS = 1_000_000_000L;

    /** How old a report is when it no longer counts, in nanoseconds. */
    private static final long MAX_AGE_NANOS = 2_000_000_000L;

    /** Creates the report of an allocator, with a share within the bounds whatever was received. */
    static ReportedSurplus of(double share, long now) {
        return new ReportedSurplus(Double.isNaN(share) ? 0 : Math.clamp(share, 0, DemandSurplus.MAX_SHARE), now);
    }

    /** Returns the share that still counts at a time. */
    double at(long now) {
        double remaining = (double) (atNanos + MAX_AGE_NANOS - now) / (MAX_AGE_NANOS - HOLD_NANOS);
        return share * Math.clamp(remaining, 0, 1);
    }
}
