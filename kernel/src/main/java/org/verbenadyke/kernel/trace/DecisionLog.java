package org.verbenadyke.kernel.trace;

/**
 * Records decisions for operators. Must not block, and may omit decisions when there are too many.
 */
@FunctionalInterface
public interface DecisionLog {
    /**
     * Records a decision.
     *
     * @param decision the decision
     */
    void note(Decision decision);

    /**
     * Returns a log that discards all decisions.
     *
     * @return the log
     */
    static DecisionLog none() {
        return decision -> {};
    }
}
