package org.verbenadyke.kernel.route;

/**
 * A service's share in the traffic split of a route.
 *
 * @param service the service that gets the share
 * @param weight its weight relative to the other shares of the route, at least 0
 */
public record ServiceShare(String service, int weight) {}
