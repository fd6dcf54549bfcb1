package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.cost.Usage;

/**
 * Observes the calls that an upstream makes while it serves one call, or a request at the node where it entered.
 */
public interface ChainObserver {
    /**
     * Called when a nested call reaches a service, at any depth.
     *
     * @param service the service
     */
    void serviceReached(String service);

    /**
     * Called when a nested call has been answered or refused, once for all its attempts.
     *
     * @param service the called service
     * @param nested the calls that were made for it
     */
    default void called(String service, CallCounts nested) {
        // Not counted.
    }

    /** Called when a nested call has failed and won't be retried. */
    void childFailed();

    /**
     * Returns whether the slot time of the calls is collected.
     *
     * @return whether the calls must request usage
     */
    default boolean collectsUsage() {
        return false;
    }

    /**
     * Called with the slot time that an attempt took, once per attempt that reports any, also if it failed.
     *
     * @param usage the usage of the attempt and of the calls nested in it
     */
    default void usageReported(Usage usage) {
        // Not collected.
    }

    /**
     * Returns whether the call being served repeats an earlier one, so that all calls made for it are repetitions.
     *
     * @return whether it is a repetition
     */
    default boolean repeated() {
        return false;
    }

    /**
     * Returns an observer for requests that enter the system at this node and so have no calling node.
     *
     * @return an observer that ignores everything
     */
    static ChainObserver none() {
        return new ChainObserver() {
            @Override
            public void serviceReached(String service) {
                // No calling node to report to.
            }

            @Override
            public void childFailed() {
                // No calling node to report to.
            }
        };
    }
}
