package org.verbenadyke.kernel.ledger;

/**
 * The invariants that the ledger checks.
 */
public enum Invariant {
    /** The retries granted for a request stay within its budget. */
    RETRIES_BOUNDED,
    /** An attempt gets at most one answer, and only an answer to its own request. */
    ANSWER_MATCHED,
    /** A call refused as not run is never handed to an upstream. */
    NOT_RUN_IS_TRUE,
    /** A call is handed to an upstream at most once, and so is a call with a given idempotency key. */
    AT_MOST_ONCE,
    /** A draining upstream gets no work that arrives after it began to drain. */
    DRAINED_GETS_NOTHING,
    /** The version of the configuration in force never decreases. */
    NEVER_REVERTS
}
