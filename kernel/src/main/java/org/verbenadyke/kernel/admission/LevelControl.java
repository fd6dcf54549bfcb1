package org.verbenadyke.kernel.admission;

/**
 * Sets the rank below which calls are refused beside an upstream. Safe for many threads, but for {@link #endWindow}.
 */
public interface LevelControl {
    /**
     * Returns the rank below which calls are refused.
     *
     * @return the rank, 0 when all are admitted
     */
    int current();

    /**
     * Returns the rank below which requests are refused that come from callers and not from another upstream.
     *
     * @return the rank, at most {@link #current()}
     */
    default int direct() {
        return current();
    }

    /**
     * Notes an arriving call, admitted or not.
     *
     * @param rank its rank
     * @param depth how many calls lie above it
     * @return whether the rank is admitted
     */
    boolean arrive(int rank, int depth);

    /** Notes that the upstream finished a call. */
    void finished();

    /** Notes that a call waited too long or found the queue full. */
    void overloaded();

    /**
     * Ends a window; called by one thread at a time, every {@link AdmissionLevel#WINDOW_NANOS}.
     *
     * @param load what the gate sees
     */
    void endWindow(GateLoad load);
}
