package org.verbenadyke.kernel.route;

/**
 * What a route's requests allow a sender to do after a failure.
 */
public enum RequestKind {
    /** May run more than once; answers are small. */
    IDEMPOTENT,
    /** May run at most once for each request of a caller. */
    NON_IDEMPOTENT,
    /** May run more than once; answers may be large. */
    DOWNLOAD;

    /**
     * Tells whether a request may run more than once.
     *
     * @return whether it may
     */
    public boolean repeatable() {
        return this != NON_IDEMPOTENT;
    }
}
