package org.verbenadyke.kernel.admission;

/**
 * The load of a gate at the end of a window.
 *
 * @param limit how many calls may be in flight
 * @param inFlight how many calls are in flight
 * @param queued how many calls wait
 * @param holdNanos how long a call holds its slot, smoothed, in nanoseconds; 0 if unknown
 * @param directHoldNanos how long a request that comes from a caller and not from another upstream holds its slot,
 *     smoothed, in nanoseconds; 0 if unknown
 * @param maxCallsPerSecond how many calls per second may be handed over; infinite without a rate limit
 */
public record GateLoad(
        int limit, int inFlight, int queued, long holdNanos, long directHoldNanos, double maxCallsPerSecond) {}
