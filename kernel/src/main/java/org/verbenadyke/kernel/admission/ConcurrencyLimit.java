package org.verbenadyke.kernel.admission;

/**
 * How many calls may be handed to an upstream at a time.
 */
public interface ConcurrencyLimit {
    /**
     * Returns the limit in force.
     *
     * @return the number of calls, at least 1
     */
    int current();

    /**
     * Notes a finished call.
     *
     * @param nowNanos the time
     * @param latencyNanos how long the upstream took
     * @param inFlight how many calls it had, this one included
     * @param outcome how it ended
     */
    void finished(long nowNanos, long latencyNanos, int inFlight, Outcome outcome);

    /** How a call ended, as far as the limit cares. */
    enum Outcome {
        /** The upstream answered. */
        ANSWERED,
        /** The upstream shed the call on its own. */
        SHED,
        /** The call ended without telling anything of the upstream's capacity. */
        IGNORED
    }
}
