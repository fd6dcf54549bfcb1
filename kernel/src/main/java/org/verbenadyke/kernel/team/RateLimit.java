package org.verbenadyke.kernel.team;

/**
 * The rate limit of a team over all nodes together.
 *
 * @param perSecond sustained requests a second
 * @param burst additional requests that it may send at once after an idle period
 */
public record RateLimit(double perSecond, double burst) {}
