package org.verbenadyke.kernel.core;

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
 */
record RegisteredNode(Gossip gossip, FollowDuty followDuty, Quarantine quarantine) implements MemberLog.Host {
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
