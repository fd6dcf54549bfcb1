package org.verbenadyke.kernel.message;

import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * The record that a former owner has of a key.
 */
public sealed interface KeyFact {
    /** The former owner never ran the key and never will. */
    record NeverRan() implements KeyFact {}

    /** The former owner can't tell, since the owners before it are in doubt. */
    record Undetermined() implements KeyFact {}

    /**
     * The former owner ran the key.
     *
     * @param fingerprint a hash of the request that used the key
     * @param outcome the outcome
     */
    record Known(long fingerprint, StoredOutcome outcome) implements KeyFact {}
}
