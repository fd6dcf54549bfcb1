package org.verbenadyke.kernel.call;

/**
 * A final answer that the system gives in place of the upstream.
 *
 * @param state whether the request ran
 * @param reason the reason for the refusal
 * @param retryAfterMillis the Retry-After delay, in milliseconds; 0 when a retry is pointless
 */
public record Refusal(RunState state, RefusalReason reason, long retryAfterMillis) {
    /**
     * Returns a copy with another Retry-After delay.
     *
     * @param millis the Retry-After delay, in milliseconds
     * @return the refusal
     */
    public Refusal withRetryAfter(long millis) {
        return new Refusal(state, reason, millis);
    }

    /**
     * Returns a copy with another execution status.
     *
     * @param newState whether the request ran
     * @return the refusal
     */
    public Refusal withState(RunState newState) {
        return new Refusal(newState, reason, retryAfterMillis);
    }

    /**
     * Creates a refusal of a request that was not run.
     *
     * @param reason the reason
     * @param retryAfterMillis the Retry-After delay, in milliseconds
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, long retryAfterMillis) {
        return new Refusal(RunState.NOT_RUN, reason, retryAfterMillis);
    }

    /**
     * Creates a refusal of a request whose outcome is unknown.
     *
     * @param reason the reason
     * @return the refusal
     */
    public static Refusal mayHaveRun(RefusalReason reason) {
        return new Refusal(RunState.MAY_HAVE_RUN, reason, 0);
    }
}
