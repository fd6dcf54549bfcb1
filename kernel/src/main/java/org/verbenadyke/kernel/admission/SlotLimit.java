package org.verbenadyke.kernel.admission;

/**
 * Creates limits from the number of slots that an upstream announces.
 *
 * <p>Load pattern: saturation. Upstreams slow down when nearly all their slots are taken, a new connection may briefly
 * occupy a slot, and an upstream with more calls than slots may stop answering. A few slots are therefore left free.
 */
public final class SlotLimit {
    /** The usable share of the slots; upstreams slow down when more than 95 % are taken. */
    private static final double USABLE_SHARE = 0.94;

    private SlotLimit() {}

    /**
     * Creates a limit.
     *
     * @param slots how many calls the upstream can run at the same time
     * @return the limit, at least 1
     */
    public static ConcurrencyLimit of(int slots) {
        return FixedLimit.of(Math.max(1, (int) (slots * USABLE_SHARE)));
    }
}
