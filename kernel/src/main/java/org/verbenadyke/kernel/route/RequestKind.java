package org.verbenadyke.kernel.route;

/**
 * Determines whether a route's requests may be retried after a failure.
 */
public enum RequestKind {
    /** May run more than once; answers are small. */
    IDEMPOTENT,
    /** Must run at most once for each request of a caller. */
    NON_IDEMPOTENT,
    /** May run more than once; answers may be large. */
    DOWNLOAD,
    /** Must run at most once for each request of a caller; request bodies may be large. */
    UPLOAD;

    /**
     * Returns whether a request may run more than once.
     *
     * @return whether it may
     */
    public boolean repeatable() {
        return switch (this) {
            case IDEMPOTENT, DOWNLOAD -> true;
            case NON_IDEMPOTENT, UPLOAD -> false;
        };
    }
}
