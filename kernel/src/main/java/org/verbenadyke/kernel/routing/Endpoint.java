package org.verbenadyke.kernel.routing;

/**
 * Where a node listens.
 *
 * @param host the IP number
 * @param port the port
 */
public record Endpoint(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
