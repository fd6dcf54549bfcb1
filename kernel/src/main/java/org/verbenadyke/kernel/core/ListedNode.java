package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.follow.FollowDuty;
import org.verbenadyke.kernel.membership.Gossip;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;

/**
 * The node as the members' stream sees it.
 *
 * @param gossip knows the members
 * @param follow knows who reads the operators' record
 * @param quarantine takes what was held back before
 */
record ListedNode(Gossip gossip, FollowDuty follow, Quarantine quarantine) implements MemberLog.Host {
    @Override
    public MemberRecord self() {
        return gossip.self();
    }

    @Override
    public void learn(MemberRecord member) {
        gossip.merge(member);
    }

    @Override
    public void restore(QuarantinedRequest held) {
        quarantine.restore(held);
    }

    @Override
    public boolean heardAny() {
        return gossip.receivedAny();
    }

    @Override
    public boolean reader() {
        return follow.reader();
    }

    @Override
    public void listed() {
        follow.listed();
    }
}
