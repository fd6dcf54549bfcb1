package org.verbenadyke.kernel.team;

/**
 * Who sends a request.
 */
public sealed interface Identity {
    /** A caller that need not be known. */
    record Anonymous() implements Identity {}

    /**
     * A caller of a team.
     *
     * @param team the team
     */
    record Known(Team team) implements Identity {}

    /**
     * A caller that should be known and isn't.
     *
     * @param fault why
     */
    record Rejected(KeyFault fault) implements Identity {}
}
