package org.verbenadyke.kernel.membership;

import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Sends datagrams to other nodes.
 */
@FunctionalInterface
public interface DatagramPort {
    /**
     * Sends a datagram; it may be lost.
     *
     * @param to where the receiving node listens
     * @param message the message
     */
    void send(Endpoint to, GossipMessage message);
}
