package org.verbenadyke.kernel.admission;

/**
 * Limits how many calls may be handed to an upstream at a time.
 */
public interface ConcurrencyLimit {
    /**
     * Returns the current limit.
     *
     * @return the number of calls, at least 1
     */
    int current();

    /**
     * Records a finished call.
     *
     * @param nowNanos the time
     * @param latencyNanos how long the upstream took
     * @param inFlight how many calls the upstream had in flight, including the finished one
     * @param outcome the outcome of the call
     */
    void finished(long nowNanos, long latencyNanos, int inFlight, Outcome outcome);

    /** Outcome of a call, as relevant to the limit. */
    enum Outcome {
        /** The upstream answered. */
        ANSWERED,
        /** The upstream itself shed the call. */
        SHED,
        /** The call ended without information about the upstream's capacity. */
        IGNORED
    }
}
