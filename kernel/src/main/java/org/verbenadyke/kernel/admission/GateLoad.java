package org.verbenadyke.kernel.admission;

/**
 * What a gate sees at the end of a window.
 *
 * @param limit how many calls may be in flight
 * @param inFlight how many are
 * @param queued how many wait
 * @param holdNanos how long a call holds its place in flight, smoothed, in nanoseconds; 0 if unknown
 * @param directHoldNanos the same of requests that come from callers and not from another upstream; 0 if unknown
 */
public record GateLoad(int limit, int inFlight, int queued, long holdNanos, long directHoldNanos) {}
