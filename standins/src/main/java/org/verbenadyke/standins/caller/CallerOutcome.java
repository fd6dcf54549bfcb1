package org.verbenadyke.standins.caller;

/**
 * What a caller got for a request.
 */
public sealed interface CallerOutcome {
    /** The whole right answer. */
    record Whole() implements CallerOutcome {}

    /**
     * A refusal by the system.
     *
     * @param runState whether the request ran
     * @param reason why it was refused
     * @param retryAfterMillis when to come back, in milliseconds; 0 if not said
     */
    record Refused(String runState, String reason, long retryAfterMillis) implements CallerOutcome {}

    /**
     * A failure that an upstream answered with.
     *
     * @param status the HTTP status
     */
    record Failed(int status) implements CallerOutcome {}

    /**
     * No answer, or a wrong one.
     *
     * @param why what went wrong
     */
    record Lost(String why) implements CallerOutcome {}
}
