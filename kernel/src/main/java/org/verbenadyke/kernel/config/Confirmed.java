package org.verbenadyke.kernel.config;

/**
 * What came of confirming a change.
 */
public sealed interface Confirmed {
    /**
     * The change took effect.
     *
     * @param version the version it made
     */
    record InForce(long version) implements Confirmed {}

    /**
     * Another change was first; this one never takes effect.
     *
     * @param version the version in force
     */
    record Superseded(long version) implements Confirmed {}

    /**
     * The change is not on the log.
     *
     * @param why what went wrong
     */
    record NotAppended(String why) implements Confirmed {}

    /**
     * It can't be known yet; asking again with the same change is safe.
     *
     * @param why what is missing
     */
    record Unknown(String why) implements Confirmed {}

    /**
     * Words a decision.
     *
     * @param decision what the log showed
     * @return the outcome
     */
    static Confirmed of(ConfigState.Decision decision) {
        return decision.tookEffect() ? new InForce(decision.version()) : new Superseded(decision.version());
    }
}
