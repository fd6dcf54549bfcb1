package org.verbenadyke.kernel.follow;

import java.util.Collection;
import java.util.function.Predicate;

import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.routing.Rendezvous;

/**
 * Ranks members for a duty by rendezvous hashing, so that all nodes with the same members agree without asking.
 */
public final class MemberRank {
    private MemberRank() {}

    /**
     * Counts the members that come before a node.
     *
     * @param nodeId the node
     * @param duty what they are ranked for
     * @param members the members
     * @param eligible tells which of them count
     * @return the node's rank, from 0
     */
    public static int of(
            String nodeId, String duty, Collection<MemberRecord> members, Predicate<MemberRecord> eligible) {
        long mine = Rendezvous.hash(nodeId, duty);
        int before = 0;
        for (MemberRecord r : members) {
            if (!r.nodeId().equals(nodeId) && eligible.test(r) && Rendezvous.hash(r.nodeId(), duty) > mine) {
                before++;
            }
        }
        return before;
    }
}
