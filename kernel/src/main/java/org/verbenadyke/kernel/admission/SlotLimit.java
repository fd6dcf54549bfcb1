package org.verbenadyke.kernel.admission;

/**
 * A limit that follows the number of slots that an upstream announces.
 *
 * <p>Load pattern: saturation. Upstreams slow down when nearly all their slots are taken, a new connection may briefly
 * occupy a slot, and an upstream with more calls than slots may stop answering. A few slots are therefore left free.
 */
public final class SlotLimit implements ConcurrencyLimit {
    /** The usable share of the slots; upstreams slow down when more than 95 % are taken. */
    private static final double USABLE_SHARE = 0.94;

    private volatile int limit;

    private SlotLimit(int slots) {
        announce(slots);
    }

    /**
     * Creates a limit.
     *
     * @param slots how many calls the upstream can run at the same time
     * @return the limit, at least 1
     */
    public static SlotLimit of(int slots) {
        return new SlotLimit(slots);
    }

    /**
     * Follows another number of slots.
     *
     * @param slots how many calls the upstream can run at the same time from now on
     */
    public void announce(int slots) {
        limit = Math.max(1, (int) (slots * USABLE_SHARE));
    }

    @Override
    public int current() {
        return limit;
    }

    @Override
    public void finished(long nowNanos, long latencyNanos, int inFlight, Outcome outcome) {
        // The number of slots doesn't depend on outcomes.
    }
}
