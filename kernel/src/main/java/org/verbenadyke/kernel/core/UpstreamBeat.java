package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.routing.Endpoint;

/**
 * A heartbeat of the upstream beside a node.
 *
 * @param id the upstream's id, new at each of its starts
 * @param service the service it serves
 * @param address where it listens
 * @param slots how many calls it runs at once
 * @param leaving whether it says that it is about to leave
 * @param coldNanos how much longer it is slow after its start, in nanoseconds
 * @param sequence counts its heartbeats; a lower one than was seen is late
 */
public record UpstreamBeat(
        String id, String service, Endpoint address, int slots, boolean leaving, long coldNanos, long sequence) {}
