package org.verbenadyke.kernel.follow;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;

/**
 * Chooses the refusal for a request that no route of the plan matches.
 *
 * <p>Load pattern: a route is added while some nodes are cut off from updates. Such a node can't distinguish a new
 * route from one that doesn't exist. If it reported that there is none, the caller would give up; so the refusal has a
 * Retry-After. A node that is sure to have all changes older than the bound refuses permanently.
 */
public final class UnmatchedRequestPolicy {
    /** Retry-After delay for callers of a node that isn't sure, in milliseconds: some rounds of gossip. */
    private static final long RETRY_MILLIS = 500;

    private UnmatchedRequestPolicy() {}

    /**
     * Chooses the refusal.
     *
     * @param plan what the node knows of its plan
     * @return the refusal
     */
    public static Refusal refusal(PlanStatus plan) {
        return plan.current()
                ? Refusal.notRun(RefusalReason.NO_SERVICE, 0)
                : Refusal.notRun(RefusalReason.PLAN_UNCERTAIN, RETRY_MILLIS);
    }
}
