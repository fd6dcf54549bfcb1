package org.verbenadyke.kernel.quarantine;

/**
 * What is known of an upstream at which a call ended without an answer.
 */
public enum CrashFinding {
    /** It refused a connection: nothing listens at its address any more. */
    CONNECTION_REFUSED("connection-refused"),
    /** Another start of it reports, and the one before has not announced that it leaves. */
    REPLACED("replaced"),
    /** Only the call's connection is known to have ended; the upstream may go on. */
    CONNECTION_LOST("connection-lost"),
    /** The call was cancelled, and the upstream may go on running it. */
    CANCELLED("cancelled"),
    /** It is leaving as planned, and its calls may end with it. */
    PLANNED_END("planned-end");

    private final String label;

    CrashFinding(String label) {
        this.label = label;
    }

    /**
     * Returns the label for logs.
     *
     * @return the label
     */
    public String label() {
        return label;
    }
}
