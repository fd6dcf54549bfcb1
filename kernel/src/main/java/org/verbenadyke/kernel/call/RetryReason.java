package org.verbenadyke.kernel.call;

import java.util.Locale;

/**
 * The closed list of reasons for another attempt, or for going without one. Each has a counter.
 */
public enum RetryReason {
    /** The upstream answered that it failed. */
    UPSTREAM_FAILED,
    /** The node beside the upstream shed the call. */
    SHED,
    /** The connection was lost while an idempotent call was under way. */
    CONNECTION_LOST,
    /** The upstream ended while it had an idempotent call. */
    UPSTREAM_ENDED,
    /** The try took too long, where a policy bounds single tries. */
    TIMED_OUT,
    /** The call was not run since the upstream leaves or can't be reached; sent elsewhere without a retry. */
    REROUTED,
    /** No retry: the request's budget is spent. */
    DENIED_BUDGET,
    /** No retry: the pair of services spent its share. */
    DENIED_RATIO,
    /** No retry: the deadline leaves no time. */
    DENIED_DEADLINE;

    /**
     * Returns the name used in counters.
     *
     * @return the name, in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
