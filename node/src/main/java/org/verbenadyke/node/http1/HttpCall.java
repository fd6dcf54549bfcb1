package org.verbenadyke.node.http1;

/**
 * A request in flight on a pooled connection.
 */
public interface HttpCall {
    /** Requests one more part of the body; without a call to {@link #throttle}, parts arrive without requests. */
    void request();

    /** Enables flow control: from now on, parts of the body arrive only on {@link #request}. */
    void throttle();

    /** Cancels the request: closes its connection and makes no further calls to the listener. */
    void cancel();
}
