package org.verbenadyke.kernel.quota;

import java.util.Optional;

import org.verbenadyke.kernel.membership.MemberRecord;

/**
 * Which node deals the permits of each team. Nodes that know the same members agree without asking.
 */
public interface Dealers {
    /**
     * Finds the dealer of a team.
     *
     * @param team the team's name
     * @return the node, empty if none can be named
     */
    Optional<MemberRecord> dealer(String team);

    /**
     * Tells whether this node deals a team's permits.
     *
     * @param team the team's name
     * @return whether it does
     */
    boolean here(String team);

    /**
     * Returns the part of each limit that the dealers on this side deal. Nodes behind a cut deal the other parts.
     *
     * @return from 0 to 1
     */
    double share();

    /**
     * Tells whether this node knows the members well enough to deal. Nodes that all start at once each know but a few
     * others at first, and would deal each limit several times over.
     *
     * @return whether it does
     */
    boolean settled();

    /** Takes notice that members came or went. */
    void membersChanged();

    /**
     * Returns since when the dealers have been the same.
     *
     * @return the time in nanoseconds
     */
    long sinceNanos();
}
