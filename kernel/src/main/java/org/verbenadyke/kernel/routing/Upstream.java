package org.verbenadyke.kernel.routing;

/**
 * An upstream as its node announced it.
 *
 * @param id the name; it changes when the node beside it restarts
 * @param service the service it serves
 * @param node where the node beside it listens
 * @param location where it stands
 */
public record Upstream(String id, String service, Endpoint node, Location location) {
    // Written out: derived ones are generated at their first use, which costs a process that starts much time.
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
