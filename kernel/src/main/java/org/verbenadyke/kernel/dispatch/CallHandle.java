package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.call.RequestId;

/**
 * Controls a request in flight.
 */
public interface CallHandle {
    /**
     * Grants flow-control credit for more of the answer's body.
     *
     * @param bytes how many bytes more
     */
    void credit(int bytes);

    /**
     * Returns the id that identifies the request on all nodes.
     *
     * @return the id
     */
    RequestId requestId();

    /** Cancels the request, since its caller disconnected. */
    void cancel();
}
