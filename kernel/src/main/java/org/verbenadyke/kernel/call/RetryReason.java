package org.verbenadyke.kernel.call;

import java.util.Locale;

/**
 * All reasons for another attempt, or for not making one. Each reason has its own counter.
 */
public enum RetryReason {
    /** The upstream answered with a failure. */
    UPSTREAM_FAILED,
    /** The called node shed the call before it reached the upstream. */
    SHED,
    /** The upstream itself shed the call. */
    UPSTREAM_SHED,
    /** The connection was lost with an idempotent call in flight. */
    CONNECTION_LOST,
    /** The upstream crashed with an idempotent call in flight. */
    UPSTREAM_ENDED,
    /** The attempt timed out; only policies with a timeout per attempt. */
    TIMED_OUT,
    /**
     * The call was not run, since the upstream is draining, refuses it or can't be reached; sent to another upstream
     * without using up a retry.
     */
    REROUTED,
    /** No retry: the retry budget of the request is used up. */
    DENIED_BUDGET,
    /** No retry: the retry ratio of the pair of services is used up. */
    DENIED_RATIO,
    /** No retry: a service that it would reach has no retries left at the node where the request entered. */
    DENIED_ALLOWANCE,
    /** No retry: no call of the kind was answered yet, so that it isn't known what its run would reach. */
    DENIED_UNKNOWN,
    /** No retry: another call of the same run has failed for good. */
    DENIED_FUTILE,
    /** No retry: the deadline leaves no time. */
    DENIED_DEADLINE;

    /**
     * Returns whether the attempt before the retry may have reached an upstream.
     *
     * @return whether it may have, for the reasons of a retry that is made
     */
    public boolean reachedUpstream() {
        return this != SHED && this != REROUTED;
    }

    /**
     * Returns the name used in counters.
     *
     * @return the name, in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
