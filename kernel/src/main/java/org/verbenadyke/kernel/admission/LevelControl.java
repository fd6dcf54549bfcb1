package org.verbenadyke.kernel.admission;

/**
 * Sets the rank below which calls to an upstream are refused. Thread-safe, except for {@link #endWindow}.
 */
public interface LevelControl {
    /**
     * Returns the rank below which calls are refused.
     *
     * @return the rank, 0 when all are admitted
     */
    int current();

    /**
     * Returns the rank below which requests that come from callers and not from another upstream are refused.
     *
     * @return the rank, at most {@link #current()}
     */
    default int direct() {
        return current();
    }

    /**
     * Records an arriving call, admitted or not.
     *
     * @param rank the call's rank
     * @param depth the depth in the call chain, 0 for a request from a caller
     * @return whether the call is admitted
     */
    boolean arrive(int rank, int depth);

    /** Admits all calls again, since what limited the upstream has ended. */
    default void reset() {
        // A level that falls within half a second needs no reset.
    }

    /** Records that the upstream finished a call. */
    void finished();

    /** Records that a call waited too long or found the queue full. */
    void overloaded();

    /**
     * Ends a window; called by one thread at a time, every {@link AdmissionLevel#WINDOW_NANOS}.
     *
     * @param load the load of the gate
     */
    void endWindow(GateLoad load);
}
