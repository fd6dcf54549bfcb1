package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.routing.Endpoint;

/**
 * A heartbeat of the upstream beside a node.
 *
 * @param start which start of the upstream sent it
 * @param service the service it serves
 * @param address where it listens
 * @param slots how many calls it runs at once
 * @param leaving whether it says that it is about to leave
 * @param coldNanos how much longer it is slow after its start, in nanoseconds
 * @param sequence counts the heartbeats of this start; a lower one than was seen is late
 */
public record UpstreamHeartbeat(
        UpstreamStart start,
        String service,
        Endpoint address,
        int slots,
        boolean leaving,
        long coldNanos,
        long sequence) {
    /**
     * Returns the id of the upstream, which several of its starts may share.
     *
     * @return the id
     */
    public String id() {
        return start.id();
    }
}
