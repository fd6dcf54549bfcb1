package org.verbenadyke.kernel.routing;

/**
 * An admission level that was heard of.
 *
 * @param rank the rank below which calls are refused
 * @param at when it was so, in nanoseconds
 */
record SeenLevel(int rank, long at) {
    /** Nothing was heard: no call is refused. */
    static final SeenLevel NONE = new SeenLevel(0, 0);

    private static final long FRESH_NANOS = 400_000_000L;
    private static final long DECAY_NANOS = 600_000_000L;

    /** Returns what still counts of it: it fades to nothing when no news comes. */
    int faded(long now) {
        long old = now - at - FRESH_NANOS;
        if (old <= 0) {
            return rank;
        }
        return old >= DECAY_NANOS ? 0 : (int) (rank * (1 - (double) old / DECAY_NANOS));
    }

    /** Returns the one of both that is younger. */
    SeenLevel newer(SeenLevel other) {
        return other.at - at >= 0 ? other : this;
    }
}
