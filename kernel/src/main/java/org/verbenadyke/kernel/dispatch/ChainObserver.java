package org.verbenadyke.kernel.dispatch;

/**
 * Learns what came of the calls that an upstream makes while it serves one call.
 */
public interface ChainObserver {
    /**
     * Takes the admission level of a path below.
     *
     * @param service the service called
     * @param level the rank below which calls are refused there
     */
    void level(String service, int level);

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
            public void level(String service, int level) {
                // Nobody above is to be told.
            }

            @Override
            public void childFailed() {
                // Nobody above is to be told.
            }
        };
    }
}
