package org.verbenadyke.kernel.dispatch;

/**
 * Learns what came of the calls that an upstream makes while it serves one call.
 */
public interface ChainObserver {
    /**
     * Takes notice of a service that the calls below lead to.
     *
     * @param service the service
     */
    void leadsTo(String service);

    /** Takes notice that a call below failed for good. */
    void childFailed();

    /**
     * Returns an observer for requests that enter here.
     *
     * @return an observer that ignores everything
     */
    static ChainObserver none() {
        return new ChainObserver() {
            @Override
            public void leadsTo(String service) {
                // Nobody above is to be told.
            }

            @Override
            public void childFailed() {
                // Nobody above is to be told.
            }
        };
    }
}
