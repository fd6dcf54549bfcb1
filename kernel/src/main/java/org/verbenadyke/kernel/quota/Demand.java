package org.verbenadyke.kernel.quota;

/**
 * What a node requests from the allocator of a team's permits.
 *
 * @param leased permits that the node still has on lease
 * @param returned permits that the node returns unused
 * @param needed permits for waiting requests
 * @param requested all permits that the node would like, including those needed
 */
record Demand(int leased, int returned, int needed, int requested) {}
