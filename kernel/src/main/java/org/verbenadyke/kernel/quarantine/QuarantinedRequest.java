package org.verbenadyke.kernel.quarantine;

import java.util.List;

/**
 * A request that is or was held back, as it is kept on the log, so that it outlives all nodes.
 *
 * @param request what it asks for
 * @param crashes the upstreams that ended while they had it
 */
public record QuarantinedRequest(RequestDigest request, List<Crash> crashes) {
    /**
     * Returns the key under which the newest record is kept.
     *
     * @return the key
     */
    public String key() {
        return "held-" + request;
    }

    /**
     * One of the ends.
     *
     * @param upstream the id of the upstream
     * @param cleared whether the request has been answered since
     * @param atMillis when the upstream ended, in milliseconds since the epoch; nodes that lived then may be gone, and
     *     their monotonic clocks with them
     */
    public record Crash(String upstream, boolean cleared, long atMillis) {}
}
