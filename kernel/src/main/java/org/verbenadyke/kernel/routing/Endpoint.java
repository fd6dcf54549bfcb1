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

    // Written out: derived ones are generated at their first use, which costs a process that starts much time.
    @Override
    public boolean equals(Object other) {
        return other instanceof Endpoint o && host.equals(o.host) && port == o.port;
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }
}
