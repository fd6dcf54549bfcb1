package org.verbenadyke.kernel.message;

/**
 * One open connection to another node, independent of the transport.
 */
public interface Link {
    /**
     * Sends a message, in order. A message sent on a closed link is dropped.
     *
     * @param message the message
     */
    void send(Message message);

    /** Closes the link; its listener is notified exactly once. */
    void close();

    /**
     * Returns the latest clock reading received from the peer.
     *
     * @return the peer's clock in nanoseconds, 0 if none was received yet
     */
    long peerClock();

    /**
     * Returns the incarnation of the peer process. A restarted process has a new incarnation and has lost the state of
     * the old one.
     *
     * @return the peer's incarnation, 0 before it was received
     */
    long peerIncarnation();

    /**
     * Adjusts the number of answers that are awaited on the link.
     *
     * @param delta 1 or -1
     */
    void adjustAwaited(int delta);

    /**
     * Returns whether the link is closed.
     *
     * @return whether it is closed
     */
    boolean closed();
}
