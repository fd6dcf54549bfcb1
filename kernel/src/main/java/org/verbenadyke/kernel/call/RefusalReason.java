package org.verbenadyke.kernel.call;

import java.util.Locale;

/**
 * All reasons for a refusal. Each reason has its own counter.
 */
public enum RefusalReason {
    /** No upstream of the service is known, or none accepts calls. */
    NO_UPSTREAM(503),
    /** The path does not name a service. */
    NO_SERVICE(404),
    /** The request has an invalid part. */
    BAD_REQUEST(400),
    /** The body exceeds the size limit. */
    BODY_TOO_LARGE(413),
    /** The context token of the calling upstream is unknown to its node. */
    CONTEXT_UNKNOWN(409),
    /** The admission level of a service deeper in the call chain exceeds the request's rank; the call was not sent. */
    SHED_EARLY(503),
    /** The admission level of the called node exceeds the request's rank. */
    SHED_LEVEL(503),
    /** The queue of the called node is full of more important requests. */
    SHED_QUEUE(503),
    /** The deadline has passed or can no longer be met. */
    DEADLINE(504),
    /** The upstream reported that it did not run the call. */
    UPSTREAM_REFUSED(503),
    /** The upstream accepts only so many requests per second, and names that limit in its answers. */
    UPSTREAM_LIMITED(503),
    /** The node has received no routes yet. */
    NO_PLAN(503),
    /** The upstream is draining. */
    DRAINING(503),
    /** The node is stopping. */
    STOPPING(503),
    /** The called node can't be connected to. */
    CONNECT_FAILED(503),
    /** The connection to the called node was lost. */
    CONNECTION_LOST(502),
    /** The upstream can't be connected to. */
    UPSTREAM_UNREACHABLE(503),
    /** The upstream closed its connection before the answer was complete. */
    UPSTREAM_BROKEN(502),
    /** The upstream crashed with the call in flight. */
    UPSTREAM_ENDED(502),
    /** The call's id was sealed: the call never ran and never will. */
    SEALED(503),
    /** The call was read only after its time to live had passed, for example after a pause of the process. */
    FENCED(503),
    /** The caller disconnected. */
    CANCELLED(499),
    /** The first attempt with the key is still running. */
    KEY_RUNNING(409),
    /** The first attempt with the key may have run, and its answer is lost. */
    KEY_OUTCOME_UNKNOWN(409),
    /** The key was used before for a different request. */
    KEY_REUSED(422),
    /** The owner of the key changed recently, and an earlier attempt may predate the change. */
    KEY_OWNER_CHANGED(409),
    /** The key belongs to another node. */
    KEY_NOT_OWNER(503),
    /** The request is quarantined: upstreams crashed, one after the other, with the same request in flight. */
    QUARANTINED(503),
    /** The caller's API key is missing or belongs to no team. */
    UNAUTHENTICATED(401),
    /** The caller's team has used up its rate limit. */
    RATE_LIMITED(429),
    /**
     * The node can't determine at present whether the API key belongs to a team, or whether the team has used up its
     * rate limit.
     */
    TEAM_UNCERTAIN(503),
    /** The node has no memory left for the body of the request. */
    BODY_MEMORY(503),
    /** An internal error of the node. */
    INTERNAL(500),
    /** The caller stopped sending in the middle of the body of its request. Not sent between nodes. */
    BODY_STALLED(408),
    /**
     * No route matches the request, and the node can't determine at present whether a newer version has one. Not sent
     * between nodes.
     */
    PLAN_UNCERTAIN(503);

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status sent to the caller.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the name sent to callers and used in counters.
     *
     * @return the name, in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
