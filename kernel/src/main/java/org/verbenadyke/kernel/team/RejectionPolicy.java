package org.verbenadyke.kernel.team;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;

/**
 * Decides what a caller that isn't known is told.
 *
 * <p>Load pattern: a key is added while some nodes can't hear of it. Such a node can't tell a new key from a wrong one;
 * told that its key is wrong, a caller would give up, so it is asked to come back. Whoever brings no usable key is told
 * so at once, whatever the node has heard.
 */
public final class RejectionPolicy {
    /** How old the last sign of the operators' record may be for a node to be sure that it knows all keys. */
    private static final long CERTAIN_MILLIS = 3_000;

    /** How soon a caller of a node that isn't sure may come back, in milliseconds: some rounds of gossip. */
    private static final long RETRY_MILLIS = 500;

    private RejectionPolicy() {}

    /**
     * Chooses the refusal.
     *
     * @param fault why the caller isn't known
     * @param signAgeMillis how long ago some node was known to read the operators' record, in milliseconds
     * @return the refusal
     */
    public static Refusal refusal(KeyFault fault, long signAgeMillis) {
        if (fault == KeyFault.UNKNOWN && signAgeMillis > CERTAIN_MILLIS) {
            return Refusal.notRun(RefusalReason.TEAM_UNCERTAIN, RETRY_MILLIS);
        }
        return Refusal.notRun(RefusalReason.UNAUTHENTICATED, 0);
    }
}
