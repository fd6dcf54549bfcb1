package org.verbenadyke.kernel.message;

/**
 * One open connection to another node, as the decision logic sees it.
 */
public interface Link {
    /**
     * Sends a message, in order. A message sent on a closed link is dropped.
     *
     * @param message the message
     */
    void send(Message message);

    /** Closes the link; its listener is told once. */
    void close();

    /**
     * Returns the newest clock lent by the peer.
     *
     * @return the peer's nanoseconds, 0 if it lent none yet
     */
    long peerClock();

    /**
     * Returns which start of the peer's process is at the other end. What one start knows, the next has forgotten.
     *
     * @return the peer's incarnation, 0 before it has said it
     */
    long peerIncarnation();

    /**
     * Notes that one more answer is awaited on the link, or one less.
     *
     * @param more 1 or -1
     */
    void adjustAwaited(int more);

    /**
     * Tells whether the link has ended.
     *
     * @return whether it is closed
     */
    boolean closed();
}
