package org.verbenadyke.kernel.dispatch;

/**
 * Steers a request under way.
 */
public interface CallHandle {
    /**
     * Allows more of the answer's body.
     *
     * @param bytes how many bytes more
     */
    void credit(int bytes);

    /** Gives the request up: its caller left. */
    void cancel();
}
