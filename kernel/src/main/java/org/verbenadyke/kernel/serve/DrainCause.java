package org.verbenadyke.kernel.serve;

/**
 * Why an upstream gets no new calls. Several causes may hold at once, and each ends on its own.
 */
public enum DrainCause {
    /** The upstream announced that it is leaving; its calls may end with it. */
    LEAVING(true),
    /** The operators take the upstream out of service; its calls may end with it. */
    OPERATORS(true),
    /** The node stops as planned; the upstream goes on. */
    NODE_STOPPING(false),
    /** The upstream fell silent, refuses connections or was replaced, without having announced it. */
    DETACHED(false);

    private final boolean plannedEnd;

    DrainCause(boolean plannedEnd) {
        this.plannedEnd = plannedEnd;
    }

    /** Returns whether the end of the upstream is planned, and so says nothing about the calls in flight. */
    boolean plannedEnd() {
        return plannedEnd;
    }
}
