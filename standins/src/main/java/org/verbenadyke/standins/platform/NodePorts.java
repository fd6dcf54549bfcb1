package org.verbenadyke.standins.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Listening addresses of a node on loopback.
 *
 * @param entry the address for callers
 * @param ready the address for readiness checks
 * @param announcements the address for announcements of the colocated server
 * @param peers the address for other nodes
 */
public record NodePorts(Endpoint entry, Endpoint ready, Endpoint announcements, Endpoint peers) {
    private static final String LOOPBACK = "127.0.0.1";

    /** First port tried. The range ends below 32,768, where the ephemeral ports of outgoing connections begin. */
    private static final int FIRST_PORT = 15_000;

    private static final int PORT_COUNT = 15_000;

    /** Starts at a random position, so that concurrent processes seldom try the same ports. */
    private static final AtomicInteger NEXT_PORT_INDEX =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

    /**
     * Finds four ports that are currently free.
     *
     * @return the addresses
     */
    public static NodePorts free() {
        return new NodePorts(freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint());
    }

    /**
     * Finds a port that is currently free and that the process hasn't returned before.
     *
     * @return the address on loopback
     */
    public static Endpoint freeEndpoint() {
        for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT_INDEX.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return new Endpoint(LOOPBACK, port);
            }
        }
        throw new IllegalStateException("no port is free from " + FIRST_PORT + " on");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
