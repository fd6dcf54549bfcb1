package org.verbenadyke.kernel.routing;

/**
 * Where a server stands.
 *
 * @param region the region
 * @param dataCentre the data centre
 */
public record Place(String region, String dataCentre) {}
