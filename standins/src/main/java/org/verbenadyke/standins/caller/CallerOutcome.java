package org.verbenadyke.standins.caller;

/**
 * Outcome of a request as the caller sees it.
 */
public sealed interface CallerOutcome {
    /** The complete expected answer. */
    record Complete() implements CallerOutcome {}

    /**
     * A refusal by the overload control.
     *
     * @param runState whether the request ran
     * @param reason the reason for the refusal
     * @param retryAfterMillis the Retry-After delay, in milliseconds; 0 if none was given
     */
    record Refused(String runState, String reason, long retryAfterMillis) implements CallerOutcome {}

    /**
     * An error answer of an upstream.
     *
     * @param status the HTTP status
     */
    record Failed(int status) implements CallerOutcome {}

    /**
     * No answer, or an answer with an unexpected body.
     *
     * @param reason what went wrong
     */
    record Lost(String reason) implements CallerOutcome {}
}
