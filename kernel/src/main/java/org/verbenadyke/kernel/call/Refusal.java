package org.verbenadyke.kernel.call;

/**
 * A final answer that the system gives in place of the upstream.
 *
 * @param state whether the request ran
 * @param reason why it was refused
 * @param retryAfterMillis when the caller may come back, in milliseconds from now; 0 when there is no use in it
 */
public record Refusal(RunState state, RefusalReason reason, long retryAfterMillis) {
    /**
     * Words the same refusal with another time.
     *
     * @param millis when the caller may come back, in milliseconds from now
     * @return the refusal
     */
    public Refusal withRetryAfter(long millis) {
        return new Refusal(state, reason, millis);
    }

    /**
     * Words the same refusal with what else is known of the request.
     *
     * @param known whether it ran
     * @return the refusal
     */
    public Refusal withState(RunState known) {
        return new Refusal(known, reason, retryAfterMillis);
    }

    /**
     * Refuses a request that was not run.
     *
     * @param reason why
     * @param retryAfterMillis when to come back, in milliseconds
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, long retryAfterMillis) {
        return new Refusal(RunState.NOT_RUN, reason, retryAfterMillis);
    }

    /**
     * Refuses a request whose outcome isn't known.
     *
     * @param reason why
     * @return the refusal
     */
    public static Refusal mayHaveRun(RefusalReason reason) {
        return new Refusal(RunState.MAY_HAVE_RUN, reason, 0);
    }
}
