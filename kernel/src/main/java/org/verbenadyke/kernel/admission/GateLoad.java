package org.verbenadyke.kernel.admission;

import java.util.Optional;

import org.verbenadyke.kernel.call.Importance;

/**
 * The load of a gate at the end of a window.
 *
 * @param limit how many calls may be in flight
 * @param inFlight how many calls are in flight
 * @param queued how many calls wait
 * @param leastQueued the lowest importance of the calls that wait, empty if none does
 * @param holdNanos how long a call holds its slot, smoothed, in nanoseconds; 0 if unknown
 * @param directHoldNanos how long a request that comes from a caller and not from another upstream holds its slot,
 *     smoothed, in nanoseconds; 0 if unknown
 * @param maxCallsPerSecond how many calls per second may be handed over; infinite without a rate limit
 */
public record GateLoad(
        int limit,
        int inFlight,
        int queued,
        Optional<Importance> leastQueued,
        long holdNanos,
        long directHoldNanos,
        double maxCallsPerSecond) {}
