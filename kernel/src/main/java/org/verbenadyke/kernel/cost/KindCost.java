package org.verbenadyke.kernel.cost;

/**
 * What requests of one kind take at one service, as learned from their answers.
 *
 * @param service the service that the requests are sent to
 * @param pathClass the class of their paths, method and first segment
 * @param repeatable whether the requests may run more than once
 * @param slotNanos the slot time of one request at the service asked about, in nanoseconds
 * @param requestsPerSecond the rate of answered requests of the kind and importance, smoothed
 */
public record KindCost(
        String service, String pathClass, boolean repeatable, double slotNanos, double requestsPerSecond) {}
