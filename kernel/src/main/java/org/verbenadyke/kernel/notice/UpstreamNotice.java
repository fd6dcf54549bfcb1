package org.verbenadyke.kernel.notice;

/**
 * What an upstream states about itself in the header of an answer.
 *
 * @param rate its rate limit
 * @param leaving whether it is leaving and must get no more work
 */
public record UpstreamNotice(RateNotice rate, boolean leaving) {
    /** An answer that states nothing. */
    public static final UpstreamNotice NONE = new UpstreamNotice(new RateNotice.None(), false);

    /**
     * Returns whether the answer states nothing.
     *
     * @return whether it neither names a limit nor states that the upstream is leaving
     */
    public boolean isEmpty() {
        return !leaving && rate instanceof RateNotice.None;
    }
}
