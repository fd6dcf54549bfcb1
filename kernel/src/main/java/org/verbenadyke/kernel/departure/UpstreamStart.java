package org.verbenadyke.kernel.departure;

import java.util.OptionalLong;

import org.verbenadyke.kernel.routing.Rendezvous;

/**
 * One start of the upstream colocated with a node. An upstream may start again under the same id; the two starts then
 * differ only by their start times.
 *
 * @param id the upstream's id
 * @param startedMillis when the upstream started, in milliseconds since the epoch; empty if not reported
 */
public record UpstreamStart(String id, OptionalLong startedMillis) {
    /**
     * Returns a number that identifies the start.
     *
     * @return a hash of the id and the start time
     */
    public long digest() {
        return Rendezvous.hash(id, startedMillis.toString());
    }

    /**
     * Returns whether the times of both starts are known, and this start was the earlier one.
     *
     * @param other the other start
     * @return whether this one is known to be older
     */
    public boolean startedBefore(UpstreamStart other) {
        return startedMillis.isPresent()
                && other.startedMillis.isPresent()
                && startedMillis.getAsLong() < other.startedMillis.getAsLong();
    }
}
