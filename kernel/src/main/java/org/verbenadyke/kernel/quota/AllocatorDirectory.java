package org.verbenadyke.kernel.quota;

import java.util.Optional;

import org.verbenadyke.kernel.membership.MemberRecord;

/**
 * Tells which node allocates the permits of each team. Nodes that know the same members agree without communicating.
 */
public interface AllocatorDirectory {
    /**
     * Finds the permit allocator of a team.
     *
     * @param team the team's name
     * @return the node, empty if no member is alive
     */
    Optional<MemberRecord> allocator(String team);

    /**
     * Returns whether this node allocates a team's permits.
     *
     * @param team the team's name
     * @return whether this node is the team's allocator
     */
    boolean isLocal(String team);

    /**
     * Returns the share of each limit that the allocators on this side of a network partition allocate. Nodes behind
     * the partition allocate the rest.
     *
     * @return from 0 to 1
     */
    double share();

    /**
     * Returns whether this node knows the members well enough to allocate permits. Nodes that all start at once know
     * only a few others at first, and would together allocate each limit several times over.
     *
     * @return whether the known membership is stable
     */
    boolean membershipStable();

    /**
     * Returns how many members are alive, as this node knows them.
     *
     * @return the number of members
     */
    int aliveMembers();

    /** Called when members joined or left. */
    void membersChanged();

    /**
     * Returns since when the allocators have been the same.
     *
     * @return the time in nanoseconds
     */
    long sinceNanos();
}
