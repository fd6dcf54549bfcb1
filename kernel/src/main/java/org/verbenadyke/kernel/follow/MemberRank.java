package org.verbenadyke.kernel.follow;

import java.util.Collection;
import java.util.function.Predicate;

import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.routing.Rendezvous;

/**
 * Ranks members for a duty by rendezvous hashing, so that all nodes with the same members agree without communicating.
 */
public final class MemberRank {
    private MemberRank() {}

    /**
     * Counts the members that rank before a node.
     *
     * @param nodeId the node
     * @param duty the duty for which the members are ranked
     * @param members the members
     * @param eligible whether a member counts
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
