package org.verbenadyke.kernel.call;

/**
 * Execution status of a refused request.
 */
public enum RunState {
    /** The request was never handed to an upstream and never will be. */
    NOT_RUN("not-run"),
    /** The request was handed to an upstream and its outcome is unknown. */
    MAY_HAVE_RUN("may-have-run"),
    /** The request ran, but its answer is not available. */
    RAN("ran");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /**
     * Returns the name sent to callers.
     *
     * @return the name, in lower case with hyphens
     */
    public String label() {
        return label;
    }
}
