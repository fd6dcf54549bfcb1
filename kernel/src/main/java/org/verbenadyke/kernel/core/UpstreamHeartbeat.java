package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.departure.UpstreamStart;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * A heartbeat of the upstream colocated with a node.
 *
 * @param start which start of the upstream sent it
 * @param service the service that the upstream serves
 * @param address where the upstream listens
 * @param slots how many calls the upstream runs concurrently
 * @param leaving whether the upstream is about to leave
 * @param warmUpNanos the remaining warm-up time after the start, in nanoseconds
 * @param sequence the number of the heartbeat within this start; a heartbeat with a lower number than one received is
 *     late
 */
public record UpstreamHeartbeat(
        UpstreamStart start,
        String service,
        Endpoint address,
        int slots,
        boolean leaving,
        long warmUpNanos,
        long sequence) {
    /**
     * Returns the id of the upstream, which several starts may share.
     *
     * @return the id
     */
    public String id() {
        return start.id();
    }
}
