package org.verbenadyke.kernel.admission;

/**
 * Which waiting call is served next.
 */
public enum QueueOrder {
    /** The most important, then the deepest in the call chain, then the earliest. */
    IMPORTANCE,
    /** The most important, then the one whose target latency passes first. */
    DUE
}
