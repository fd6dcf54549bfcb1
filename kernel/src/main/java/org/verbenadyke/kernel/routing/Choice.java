package org.verbenadyke.kernel.routing;

/**
 * What came of routing a call.
 */
public sealed interface Choice {
    /**
     * The call goes to an upstream.
     *
     * @param candidate the upstream
     */
    record Selected(Candidate candidate) implements Choice {}

    /**
     * Every upstream, or the path below, would refuse the call.
     *
     * @param level the lowest level among them
     */
    record Shed(int level) implements Choice {}

    /** No upstream may take the call. */
    record NoCandidate() implements Choice {}
}
