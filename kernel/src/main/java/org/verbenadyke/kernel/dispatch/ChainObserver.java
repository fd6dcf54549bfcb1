package org.verbenadyke.kernel.dispatch;

/**
 * Observes the calls that an upstream makes while it serves one call.
 */
public interface ChainObserver {
    /**
     * Called when a nested call reaches a service, at any depth.
     *
     * @param service the service
     */
    void serviceReached(String service);

    /** Called when a nested call has failed and won't be retried. */
    void childFailed();

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
