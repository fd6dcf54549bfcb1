package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.call.RequestId;

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

    /**
     * Returns the request's id among the nodes.
     *
     * @return the id
     */
    RequestId requestId();

    /** Gives the request up: its caller left. */
    void cancel();
}
