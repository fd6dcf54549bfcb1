package org.verbenadyke.kernel.config;

/**
 * What came of confirming a change.
 */
public sealed interface ConfirmOutcome {
    /**
     * The change took effect.
     *
     * @param version the version it made
     */
    record InForce(long version) implements ConfirmOutcome {}

    /**
     * Another change was first; this one never takes effect.
     *
     * @param version the version in force
     */
    record Superseded(long version) implements ConfirmOutcome {}

    /**
     * The change is not on the log.
     *
     * @param reason what went wrong
     */
    record NotAppended(String reason) implements ConfirmOutcome {}

    /**
     * It can't be known yet; asking again with the same change is safe.
     *
     * @param reason what is missing
     */
    record Unknown(String reason) implements ConfirmOutcome {}

    /**
     * Words a decision.
     *
     * @param decision what the log showed
     * @return the outcome
     */
    static ConfirmOutcome of(ConfigState.Decision decision) {
        return decision.tookEffect() ? new InForce(decision.version()) : new Superseded(decision.version());
    }
}
