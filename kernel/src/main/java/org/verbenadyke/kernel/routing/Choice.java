package org.verbenadyke.kernel.routing;

/**
 * The result of routing a call.
 */
public sealed interface Choice {
    /**
     * The call goes to an upstream.
     *
     * @param candidate the upstream
     */
    record Selected(Candidate candidate) implements Choice {}

    /**
     * Every upstream would refuse the call, or a service deeper in the call chain would.
     *
     * @param level the lowest admission level among the upstreams
     */
    record Shed(int level) implements Choice {}

    /** No upstream is available for the call. */
    record NoCandidate() implements Choice {}

    /** The node stops before the answer could be there. */
    record TooLate() implements Choice {}
}
