package org.verbenadyke.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

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

    /** The ports that are tried: below those that the system gives to outgoing connections, from 32,768 on. */
    private static final int FIRST = 15_000;

    private static final int RANGE = 15_000;

    /** Begins anywhere, so that processes which run at once seldom try the same. */
    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(RANGE));

    /**
     * Finds ports that are free at the moment.
     *
     * @return the ports
     */
    public static NodePorts free() {
        return new NodePorts(freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint());
    }

    /**
     * Finds one port that is free at the moment, and that this process has not given before.
     *
     * @return its address
     */
    public static Endpoint freeEndpoint() {
        for (int tries = 0; tries < RANGE; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), RANGE);
            if (free(port)) {
                return new Endpoint(LOOPBACK, port);
            }
        }
        throw new IllegalStateException("no port is free from " + FIRST + " on");
    }

    private static boolean free(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
