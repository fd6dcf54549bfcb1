package org.verbenadyke.kernel.route;

/**
 * A service of a route plan.
 *
 * @param name the name of the service
 * @param healthPath the path of its health check
 * @param maxConnections the number of connections that one of its upstreams accepts from all nodes together
 */
public record ServiceEntry(String name, String healthPath, int maxConnections) {}
