package org.verbenadyke.kernel.membership;

/**
 * The state of a member. Of two records with the same incarnation and version, the one with the later constant wins.
 */
public enum MemberState {
    /** The member accepts work. */
    ALIVE,
    /** The member did not answer some node; it still gets work, as others may reach it. */
    SUSPECT,
    /** The member is leaving: it gets no new work and finishes its work in progress. */
    DRAINING,
    /** The member left as planned. */
    LEFT,
    /** The member was declared dead. */
    DEAD;

    /**
     * Returns whether the member may still be running.
     *
     * @return false once the member left or was declared dead
     */
    public boolean present() {
        return this == ALIVE || this == SUSPECT || this == DRAINING;
    }

    /**
     * Returns whether the member's upstream may get new work.
     *
     * @return whether the upstream may get new work
     */
    public boolean accepting() {
        return this == ALIVE || this == SUSPECT;
    }
}
