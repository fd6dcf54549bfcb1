package org.verbenadyke.kernel.routing;

/**
 * An upstream as its node announced it.
 *
 * @param id the name; it changes when the node beside it restarts
 * @param service the service it serves
 * @param node where the node beside it listens
 * @param place where it stands
 */
public record Upstream(String id, String service, Endpoint node, Place place) {}
