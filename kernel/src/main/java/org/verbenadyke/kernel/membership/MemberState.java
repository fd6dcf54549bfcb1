package org.verbenadyke.kernel.membership;

/**
 * How a member fares. Of two records of one incarnation and version, the later state here wins.
 */
public enum MemberState {
    /** It takes work. */
    ALIVE,
    /** It did not answer; it still gets work, as others may reach it. */
    SUSPECT,
    /** It is leaving: it gets no new work and finishes what it has. */
    DRAINING,
    /** It left as planned. */
    LEFT,
    /** It was given up. */
    DEAD;

    /**
     * Tells whether the member may still be running.
     *
     * @return false once it left or was given up
     */
    public boolean present() {
        return this == ALIVE || this == SUSPECT || this == DRAINING;
    }

    /**
     * Tells whether the member's upstream may get new work.
     *
     * @return whether it may
     */
    public boolean accepting() {
        return this == ALIVE || this == SUSPECT;
    }
}
