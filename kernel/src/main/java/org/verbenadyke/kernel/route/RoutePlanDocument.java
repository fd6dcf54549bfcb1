package org.verbenadyke.kernel.route;

/**
 * A route plan as written by an operator, but without secrets. Nodes pass the document on unchanged.
 *
 * @param version the plan's version
 * @param bytes the document
 */
public record RoutePlanDocument(long version, byte[] bytes) {}
