package org.verbenadyke.kernel.link;

import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Opens connections to other nodes.
 */
@FunctionalInterface
public interface Transport {
    /**
     * Opens a connection and notifies the handler of the result.
     *
     * @param endpoint where the node listens
     * @param handler receives the connection's events
     */
    void connect(Endpoint endpoint, Handler handler);

    /**
     * Receives the events of one connection, one at a time.
     */
    interface Handler {
        /**
         * Called when the connection is open.
         *
         * @param channel the connection
         */
        void opened(Channel channel);

        /**
         * Handles a message.
         *
         * @param message the message
         */
        void received(Message message);

        /** Called exactly once, when the connection has closed or could not be opened. */
        void connectionClosed();
    }
}
