package org.verbenadyke.kernel.call;

/**
 * What a refusal says about the request's effect.
 */
public enum RunState {
    /** It was never handed to an upstream and never will be. */
    NOT_RUN("not-run"),
    /** It was handed over and its outcome isn't known. */
    MAY_HAVE_RUN("may-have-run"),
    /** It ran, but its answer can't be given. */
    RAN("ran");

    private final String label;

    RunState(String label) {
        this.label = label;
    }

    /**
     * Returns the name used towards callers.
     *
     * @return the name, in lower case with hyphens
     */
    public String label() {
        return label;
    }
}
