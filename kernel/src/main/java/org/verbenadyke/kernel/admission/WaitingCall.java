package org.verbenadyke.kernel.admission;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;

/**
 * A call that waits to be handed to the upstream.
 */
public interface WaitingCall {
    /**
     * Returns the importance of the call.
     *
     * @return the importance
     */
    Importance importance();

    /**
     * Returns the call's rank.
     *
     * @return the rank; see {@link Importance#rank}
     */
    int rank();

    /**
     * Returns the depth of the call in the call chain.
     *
     * @return the depth, 0 for a request from a caller
     */
    int depth();

    /**
     * Returns the deadline of the call.
     *
     * @return the time on the local clock, in nanoseconds
     */
    long deadlineNanos();

    /**
     * Returns the time at which the call's target latency passes.
     *
     * @return the time on the local clock, in nanoseconds; the deadline if there is no target
     */
    default long dueNanos() {
        return deadlineNanos();
    }

    /** Starts the call; a slot is held for it until {@link Gate#release}. */
    void admitted();

    /**
     * Refuses the call, which was not run.
     *
     * @param reason the reason
     */
    void shed(RefusalReason reason);
}
