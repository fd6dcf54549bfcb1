package org.verbenadyke.kernel.admission;

/**
 * The bounds of a concurrency limit.
 *
 * @param initial the limit at the start; low, since a new upstream may be cold
 * @param minimum the least
 * @param maximum the most
 */
public record LimitSettings(int initial, int minimum, int maximum) {}
