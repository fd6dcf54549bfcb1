package org.verbenadyke.kernel.route;

/**
 * What the plan says of a service.
 *
 * @param name the service
 * @param healthPath the path of its health check
 * @param connectionsMost how many connections one of its upstreams accepts from all nodes together
 */
public record ServiceEntry(String name, String healthPath, int connectionsMost) {}
