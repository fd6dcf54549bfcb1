package org.verbenadyke.kernel.link;

import org.verbenadyke.kernel.message.Message;

/**
 * An open transport connection that carries messages in order.
 */
public interface Channel {
    /**
     * Writes a message; never blocks.
     *
     * @param message the message
     */
    void write(Message message);

    /** Closes the connection. */
    void close();
}
