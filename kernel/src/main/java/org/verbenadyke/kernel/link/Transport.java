package org.verbenadyke.kernel.link;

import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Opens connections to other nodes.
 */
@FunctionalInterface
public interface Transport {
    /**
     * Connects; the handler is told what comes of it.
     *
     * @param endpoint where the node listens
     * @param handler takes the connection's events
     */
    void connect(Endpoint endpoint, Handler handler);

    /**
     * Takes the events of one connection, one at a time.
     */
    interface Handler {
        /**
         * Takes the open connection.
         *
         * @param channel the connection
         */
        void opened(Channel channel);

        /**
         * Takes a message.
         *
         * @param message the message
         */
        void received(Message message);

        /** Takes the end of the connection, or the failure to open it; told once. */
        void ended();
    }
}
