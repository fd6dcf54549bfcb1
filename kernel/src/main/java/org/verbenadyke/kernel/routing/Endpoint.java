package org.verbenadyke.kernel.routing;

/**
 * The address on which a node listens.
 *
 * @param host the IP address
 * @param port the port
 */
public record Endpoint(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }

    // Written out because the derived methods are generated at their first use, which slows down process startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof Endpoint o && host.equals(o.host) && port == o.port;
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }
}
