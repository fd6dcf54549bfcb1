package org.verbenadyke.kernel.team;

/**
 * The identity of the sender of a request.
 */
public sealed interface Identity {
    /** A caller that need not be identified. */
    record Anonymous() implements Identity {}

    /**
     * A caller of a team.
     *
     * @param team the team
     */
    record Known(Team team) implements Identity {}

    /**
     * A caller that could not be identified.
     *
     * @param fault the reason
     */
    record Rejected(KeyFault fault) implements Identity {}
}
