package org.verbenadyke.kernel.quota;

/**
 * The answer of a team's permit allocator.
 *
 * @param granted permits leased to the requesting node
 * @param availableAfterMillis after how long one more permit is free for the node, in milliseconds; 0 if it got all
 *     that it needs now
 * @param surplusShare the share of the team's demand that is surplus, from 0 to 1
 */
record Allocation(int granted, long availableAfterMillis, double surplusShare) {
    /** Returns the same allocation with a surplus share. */
    Allocation withSurplusShare(double share) {
        return new Allocation(granted, availableAfterMillis, share);
    }
}
