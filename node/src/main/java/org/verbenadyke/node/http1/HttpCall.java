package org.verbenadyke.node.http1;

/**
 * A request under way.
 */
public interface HttpCall {
    /** Lets one more part of the body come; parts come freely until {@link #throttle} is called. */
    void request();

    /** From now on, lets the body come by {@link #request} only. */
    void throttle();

    /** Gives the request up; its connection ends, and the listener hears nothing more. */
    void cancel();
}
