package org.verbenadyke.kernel.admission;

/**
 * The initial value and the bounds of a concurrency limit.
 *
 * @param initial the initial limit; low, since a new upstream may be cold
 * @param minimum the lowest limit
 * @param maximum the highest limit
 */
public record LimitSettings(int initial, int minimum, int maximum) {}
