package org.verbenadyke.kernel.route;

/**
 * One part of a route's split.
 *
 * @param service the service that gets the part
 * @param weight its weight among the parts of the route, from 0
 */
public record ServiceShare(String service, int weight) {}
