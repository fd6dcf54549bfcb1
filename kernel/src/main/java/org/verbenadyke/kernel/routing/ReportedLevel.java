package org.verbenadyke.kernel.routing;

/**
 * An admission level reported by another node.
 *
 * @param rank the rank below which calls are refused
 * @param atNanos when the level was in force, in nanoseconds
 */
record ReportedLevel(int rank, long atNanos) {
    /** No level was reported: no call is refused. */
    static final ReportedLevel NONE = new ReportedLevel(0, 0);

    private static final long FRESH_NANOS = 400_000_000L;
    private static final long DECAY_NANOS = 600_000_000L;

    /** Returns the rank that still applies: it decays to 0 unless the level is reported again. */
    int decayed(long now) {
        long overdue = now - atNanos - FRESH_NANOS;
        if (overdue <= 0) {
            return rank;
        }
        return overdue >= DECAY_NANOS ? 0 : (int) (rank * (1 - (double) overdue / DECAY_NANOS));
    }

    /** Returns the more recent of the two levels. */
    ReportedLevel newer(ReportedLevel other) {
        return other.atNanos - atNanos >= 0 ? other : this;
    }
}
