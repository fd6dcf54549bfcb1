package org.verbenadyke.kernel.admission;

/**
 * A limit from the number of calls that an upstream says it runs at once.
 *
 * <p>Load pattern: saturation. Upstreams slow down when nearly all their slots are taken, and a new connection may take
 * a slot for a moment; an upstream that is overfilled may stop answering. A few slots are therefore left free.
 */
public final class SlotLimit {
    /** The share of the slots that is used; upstreams were seen to slow down above 95 %. */
    private static final double USABLE_SHARE = 0.94;

    private SlotLimit() {}

    /**
     * Creates a limit.
     *
     * @param slots how many calls the upstream runs at once
     * @return the limit, at least 1
     */
    public static ConcurrencyLimit of(int slots) {
        return FixedLimit.of(Math.max(1, (int) (slots * USABLE_SHARE)));
    }
}
