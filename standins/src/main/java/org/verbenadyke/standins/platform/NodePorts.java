package org.verbenadyke.standins.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Where a node on loopback listens.
 *
 * @param entry for clients
 * @param ready for questions whether it is ready
 * @param announcements for the server beside it
 * @param peers for other nodes
 */
public record NodePorts(Endpoint entry, Endpoint ready, Endpoint announcements, Endpoint peers) {
    private static final String LOOPBACK = "127.0.0.1";

    /**
     * Finds ports that are free at the moment.
     *
     * @return the ports
     */
    public static NodePorts free() {
        return new NodePorts(freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint());
    }

    /**
     * Finds one port that is free at the moment.
     *
     * @return its address
     */
    public static Endpoint freeEndpoint() {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), 0));
            return new Endpoint(LOOPBACK, socket.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
