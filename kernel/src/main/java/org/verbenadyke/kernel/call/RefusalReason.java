package org.verbenadyke.kernel.call;

import java.util.Locale;

/**
 * The closed list of reasons for a refusal. Each has a counter.
 */
public enum RefusalReason {
    /** No upstream of the service is known or all are unfit. */
    NO_UPSTREAM(503),
    /** The path does not name a service. */
    NO_SERVICE(404),
    /** The request has a part that can't be used. */
    BAD_REQUEST(400),
    /** The body is over the limit. */
    BODY_TOO_LARGE(413),
    /** The calling upstream's context is not known here. */
    CONTEXT_UNKNOWN(409),
    /** The admission level deeper in the chain is above the request's rank. */
    SHED_EARLY(503),
    /** The admission level beside the upstream is above the request's rank. */
    SHED_LEVEL(503),
    /** The queue beside the upstream is full of requests that matter more. */
    SHED_QUEUE(503),
    /** The deadline can't be met any more. */
    DEADLINE(504),
    /** The upstream itself said that it did not run the call. */
    UPSTREAM_REFUSED(503),
    /** No routes are known yet. */
    NO_PLAN(503),
    /** The upstream is leaving. */
    DRAINING(503),
    /** The node is stopping. */
    STOPPING(503),
    /** The node beside the upstream can't be connected to. */
    CONNECT_FAILED(503),
    /** The connection to the node beside the upstream was lost. */
    CONNECTION_LOST(502),
    /** The upstream can't be connected to. */
    UPSTREAM_UNREACHABLE(503),
    /** The upstream broke its connection off. */
    UPSTREAM_BROKEN(502),
    /** The upstream ended while it had the call. */
    UPSTREAM_ENDED(502),
    /** The call's id was sealed: it never ran and never will. */
    SEALED(503),
    /** The call waited unseen for longer than its time to live, as after a pause of the process. */
    FENCED(503),
    /** The caller left. */
    CANCELLED(499),
    /** The key's first try is still running. */
    KEY_RUNNING(409),
    /** The key's first try may have run and its answer is gone. */
    KEY_OUTCOME_UNKNOWN(409),
    /** The key was used before for another request. */
    KEY_REUSED(422),
    /** The key's owner changed lately, and an earlier try may predate the change. */
    KEY_OWNER_CHANGED(409),
    /** The key belongs to another node. */
    KEY_NOT_OWNER(503),
    /** Upstreams ended, one after the other, while they had the same request. */
    QUARANTINED(503),
    /** The caller brings no key that a team holds. */
    UNAUTHENTICATED(401),
    /** The caller's team has used up its rate limit. */
    RATE_LIMITED(429),
    /** The node can't tell now whether the caller's team holds the key or has used up its rate limit. */
    TEAM_UNCERTAIN(503),
    /** A fault inside the node. */
    INTERNAL(500);

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status towards the caller.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the name used towards callers and in counters.
     *
     * @return the name, in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
