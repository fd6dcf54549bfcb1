package org.verbenadyke.kernel.membership;

import java.util.Optional;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.routing.Rendezvous;
import org.verbenadyke.kernel.routing.Upstream;

/**
 * What is known of one node and the upstream beside it.
 *
 * @param nodeId the node's name
 * @param incarnation drawn at the node's start; a later start has a higher one
 * @param version raised by the node with each change of its own
 * @param state how it fares
 * @param endpoint where it listens for other nodes
 * @param control where it listens for operators
 * @param location where it stands
 * @param service the service of the upstream beside it, empty if there is none
 * @param changedMillis when the record was made, in milliseconds since the epoch; tells how long a member is gone
 * @param epoch raised by the node when it was given up and came back, so that its upstream gets a new id
 */
public record MemberRecord(
        String nodeId,
        long incarnation,
        long version,
        MemberState state,
        Endpoint endpoint,
        Endpoint control,
        Location location,
        String service,
        long changedMillis,
        int epoch) {
    /**
     * Tells whether this record replaces another of the same node.
     *
     * @param other the other record
     * @return whether this one is newer
     */
    public boolean supersedes(MemberRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (version != other.version) {
            return version > other.version;
        }
        return state.compareTo(other.state) > 0;
    }

    /**
     * Returns the record with another state.
     *
     * @param newState the state
     * @param nowMillis the wall clock's time, in milliseconds since the epoch
     * @return the record, of the same version
     */
    public MemberRecord withState(MemberState newState, long nowMillis) {
        return new MemberRecord(
                nodeId, incarnation, version, newState, endpoint, control, location, service, nowMillis, epoch);
    }

    /**
     * Returns the id of the upstream beside the node.
     *
     * @return the id
     */
    public String upstreamId() {
        return nodeId + "@" + Long.toHexString(incarnation) + "." + epoch;
    }

    /**
     * Returns the upstream beside the node.
     *
     * @return the upstream, if there is one
     */
    public Optional<Upstream> upstream() {
        return service.isEmpty() ? Optional.empty() : Optional.of(new Upstream(upstreamId(), service, endpoint, location));
    }

    /**
     * Returns a hash of what tells two records of a node apart.
     *
     * @return 64 bits
     */
    public long fingerprint() {
        long h = Rendezvous.hash(nodeId, state.name());
        return Rendezvous.hash(Long.toHexString(h ^ incarnation), Long.toString(version));
    }

    // Written out: derived ones are generated at their first use, which costs a process that starts much time.
    @Override
    public boolean equals(Object other) {
        return other instanceof MemberRecord o
                && nodeId.equals(o.nodeId)
                && incarnation == o.incarnation
                && version == o.version
                && state == o.state
                && endpoint.equals(o.endpoint)
                && control.equals(o.control)
                && location.equals(o.location)
                && service.equals(o.service)
                && changedMillis == o.changedMillis
                && epoch == o.epoch;
    }

    @Override
    public int hashCode() {
        return 31 * (31 * nodeId.hashCode() + Long.hashCode(incarnation)) + Long.hashCode(version);
    }
}
