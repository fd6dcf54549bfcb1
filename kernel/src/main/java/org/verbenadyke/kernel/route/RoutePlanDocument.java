package org.verbenadyke.kernel.route;

/**
 * A plan as its operator wrote it, but without secrets; passed between nodes unchanged.
 *
 * @param version the plan's version
 * @param bytes the document
 */
public record RoutePlanDocument(long version, byte[] bytes) {}
