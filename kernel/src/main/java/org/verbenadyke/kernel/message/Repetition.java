package org.verbenadyke.kernel.message;

/**
 * Whether a call may reach upstreams once more than the request of its caller makes necessary.
 */
public enum Repetition {
    /** The first attempt of a call, in a run that is itself no repetition. */
    NONE,
    /** An attempt of a call of which an earlier attempt may have reached an upstream. */
    RETRY,
    /** The first attempt of a call that a repeated run makes. */
    INHERITED
}
