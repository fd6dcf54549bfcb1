package org.verbenadyke.kernel.quarantine;

import java.util.List;

/**
 * A request that is or was quarantined, in the form stored on the log, so that the quarantine survives a restart of all
 * nodes.
 *
 * @param request the digest of the request
 * @param crashes the crashes of upstreams at which the request was in flight
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
     * A crash at which the request was in flight.
     *
     * @param upstream the id of the upstream
     * @param cleared whether the request has been answered since
     * @param atMillis when the upstream crashed, in milliseconds since the epoch; not in monotonic time, as the nodes
     *     of that time may be gone and their monotonic clocks with them
     */
    public record Crash(String upstream, boolean cleared, long atMillis) {}
}
