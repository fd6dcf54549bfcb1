package org.verbenadyke.kernel.ledger;

/**
 * The promises that the ledger checks.
 */
public enum Invariant {
    /** Retries granted for one request stay within its budget. */
    RETRIES_BOUNDED,
    /** An attempt gets at most one answer, and only of its own request. */
    ANSWER_MATCHED,
    /** What was refused as not run is never handed to an upstream. */
    NOT_RUN_IS_TRUE,
    /** A call is handed to an upstream at most once, and so is a key. */
    AT_MOST_ONCE,
    /** A leaving upstream gets no work that arrived after it left. */
    DRAINED_GETS_NOTHING,
    /** The version of the configuration in force never goes back. */
    NEVER_REVERTS
}
