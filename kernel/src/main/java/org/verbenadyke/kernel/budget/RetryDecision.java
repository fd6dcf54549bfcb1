package org.verbenadyke.kernel.budget;

import java.util.Optional;

import org.verbenadyke.kernel.call.RetryReason;

/**
 * The reply to a request for a retry.
 */
public enum RetryDecision {
    /** The retry may be made. */
    GRANTED,
    /** The retries of the request are used up, or the node where it entered can't be asked. */
    DENIED_BUDGET,
    /** The allowance of a service that the retry would reach is used up at the node where the request entered. */
    DENIED_ALLOWANCE,
    /** Another call of the same run has failed for good, so that the run fails in any case. */
    DENIED_FUTILE;

    /**
     * Returns whether the retry may be made.
     *
     * @return whether it may
     */
    public boolean granted() {
        return this == GRANTED;
    }

    /**
     * Returns the reason that a denied retry is counted by.
     *
     * @return the reason, empty if the retry was granted
     */
    public Optional<RetryReason> denial() {
        return switch (this) {
            case GRANTED -> Optional.empty();
            case DENIED_BUDGET -> Optional.of(RetryReason.DENIED_BUDGET);
            case DENIED_ALLOWANCE -> Optional.of(RetryReason.DENIED_ALLOWANCE);
            case DENIED_FUTILE -> Optional.of(RetryReason.DENIED_FUTILE);
        };
    }
}
