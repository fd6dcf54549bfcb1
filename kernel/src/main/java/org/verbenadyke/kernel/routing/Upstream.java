package org.verbenadyke.kernel.routing;

/**
 * An upstream as announced by its node.
 *
 * @param id the id, which changes when the colocated node restarts
 * @param service the service it serves
 * @param node the address of the colocated node
 * @param location its location
 */
public record Upstream(String id, String service, Endpoint node, Location location) {
    // Written out because the derived methods are generated at their first use, which slows down process startup.
    @Override
    public boolean equals(Object other) {
        return other instanceof Upstream o
                && id.equals(o.id)
                && service.equals(o.service)
                && node.equals(o.node)
                && location.equals(o.location);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * (31 * id.hashCode() + service.hashCode()) + node.hashCode()) + location.hashCode();
    }
}
