package org.verbenadyke.kernel.departure;

import java.util.OptionalLong;

import org.verbenadyke.kernel.routing.Rendezvous;

/**
 * A start of an upstream that has announced its shutdown.
 *
 * @param start the start; without a start time, whichever ran under the id when the shutdown was announced
 * @param sequence the number of the heartbeat that announced it, {@link #FINAL} for any other announcement; a heartbeat
 *     of the start with a higher number is newer than the announcement
 * @param announcedMillis when the shutdown was announced, in milliseconds since the epoch; not in monotonic time, as
 *     the process of that time may be gone
 */
public record DepartedStart(UpstreamStart start, long sequence, long announcedMillis) {
    /** The sequence of a departure that no heartbeat of the start revokes. */
    public static final long FINAL = Long.MAX_VALUE;

    /**
     * Returns what two departures under one id amount to, both with or both without a start time.
     *
     * @param other the other departure
     * @return the departure of the later start; of the same start, the one that covers more heartbeats
     */
    DepartedStart merge(DepartedStart other) {
        if (start.startedBefore(other.start)) {
            return other;
        }
        if (other.start.startedBefore(start)) {
            return this;
        }
        return new DepartedStart(
                start, Math.max(sequence, other.sequence), Math.max(announcedMillis, other.announcedMillis));
    }

    /** Returns a hash that is the same on all nodes. */
    long fingerprint(String nodeId) {
        OptionalLong started = start.startedMillis();
        return Rendezvous.hash(nodeId + " " + start.id(), started + " " + sequence + " " + announcedMillis);
    }

    /** Returns whether both describe the shutdown of starts under the same id that are known equally well. */
    boolean sameKey(DepartedStart other) {
        return start.id().equals(other.start.id())
                && start.startedMillis().isPresent()
                        == other.start.startedMillis().isPresent();
    }
}
