package org.verbenadyke.kernel.team;

/**
 * How many requests a team may send, over all nodes together.
 *
 * @param perSecond requests a second that it may send for as long as it likes
 * @param burst requests that it may send on top at once after a quiet time
 */
public record RateLimit(double perSecond, double burst) {}
