package org.verbenadyke.kernel.trace;

/**
 * Takes decisions to be explained later. Must not block, and may leave some out when there are too many.
 */
@FunctionalInterface
public interface DecisionLog {
    /**
     * Takes a decision.
     *
     * @param decision the decision
     */
    void note(Decision decision);

    /**
     * Returns a log that keeps nothing.
     *
     * @return the log
     */
    static DecisionLog none() {
        return decision -> {};
    }
}
