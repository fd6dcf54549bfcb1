package org.verbenadyke.kernel.team;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.follow.PlanStatus;

/**
 * Chooses the refusal for a caller that could not be identified.
 *
 * <p>Load pattern: a key is added while some nodes are cut off from updates. Such a node can't distinguish a new key
 * from a wrong one. If it reported the key as wrong, the caller would give up; so the refusal has a Retry-After. A
 * request without a usable key is always refused permanently.
 */
public final class RejectionPolicy {
    /** Retry-After delay for callers of a node that isn't sure, in milliseconds: some rounds of gossip. */
    private static final long RETRY_MILLIS = 500;

    private RejectionPolicy() {}

    /**
     * Chooses the refusal.
     *
     * @param fault why the caller could not be identified
     * @param plan what the node knows of its plan
     * @return the refusal
     */
    public static Refusal refusal(KeyFault fault, PlanStatus plan) {
        if (fault == KeyFault.UNKNOWN && !plan.current()) {
            return Refusal.notRun(RefusalReason.TEAM_UNCERTAIN, RETRY_MILLIS);
        }
        return Refusal.notRun(RefusalReason.UNAUTHENTICATED, 0);
    }
}
