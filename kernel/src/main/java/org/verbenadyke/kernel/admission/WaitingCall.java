package org.verbenadyke.kernel.admission;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;

/**
 * A call that asks to be handed to the upstream.
 */
public interface WaitingCall {
    /**
     * Returns how much the call matters.
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
     * Returns how deep in its chain the call is.
     *
     * @return the number of calls above it
     */
    int depth();

    /**
     * Returns the time after which nobody waits for the answer.
     *
     * @return the deadline on the local clock, in nanoseconds
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
     * @param reason why
     */
    void shed(RefusalReason reason);
}
