package org.verbenadyke.kernel.config;

/**
 * The outcome of confirming a change.
 */
public sealed interface ConfirmOutcome {
    /**
     * The change took effect.
     *
     * @param version the version it created
     */
    record InForce(long version) implements ConfirmOutcome {}

    /**
     * Another change came first; this one never takes effect.
     *
     * @param version the version in force
     */
    record Superseded(long version) implements ConfirmOutcome {}

    /**
     * The change was not appended to the log.
     *
     * @param reason what went wrong
     */
    record NotAppended(String reason) implements ConfirmOutcome {}

    /**
     * The outcome isn't known yet; confirming the same change again is safe.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(String reason) implements ConfirmOutcome {}

    /**
     * Converts a decision.
     *
     * @param decision the decision found in the log
     * @return the outcome
     */
    static ConfirmOutcome of(ConfigState.Decision decision) {
        return decision.tookEffect() ? new InForce(decision.version()) : new Superseded(decision.version());
    }
}
