package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.departure.DepartureTable;
import org.verbenadyke.kernel.departure.NodeDepartures;
import org.verbenadyke.kernel.follow.FollowDuty;
import org.verbenadyke.kernel.membership.Gossip;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;

/**
 * The node as registered on the members' stream.
 *
 * @param gossip the node's gossip
 * @param followDuty decides whether the node reads the operators' record
 * @param quarantine restores requests that were quarantined before
 * @param table restores departures of upstreams
 * @param departures keeps the departures of this node's upstream
 */
record RegisteredNode(
        Gossip gossip,
        FollowDuty followDuty,
        Quarantine quarantine,
        DepartureTable table,
        ReplicatedDepartures departures)
        implements MemberLog.Host {
    @Override
    public MemberRecord self() {
        return gossip.self();
    }

    @Override
    public void learn(MemberRecord member) {
        gossip.merge(member);
    }

    @Override
    public void restore(QuarantinedRequest quarantined) {
        quarantine.restore(quarantined);
    }

    @Override
    public void restore(NodeDepartures departed) {
        table.merge(departed);
    }

    @Override
    public void readComplete() {
        departures.logRead();
    }

    @Override
    public boolean receivedAny() {
        return gossip.receivedAny();
    }

    @Override
    public boolean isFollower() {
        return followDuty.isFollower();
    }

    @Override
    public void registered() {
        followDuty.registered();
    }
}
