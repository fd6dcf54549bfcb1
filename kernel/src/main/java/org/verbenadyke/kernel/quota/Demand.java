package org.verbenadyke.kernel.quota;

/**
 * What a node asks the dealer of a team's permits for.
 *
 * @param held permits that it holds and may still use
 * @param returned permits that it gives back unused
 * @param needed permits for requests that wait
 * @param wanted permits that it would like, those needed among them
 */
record Demand(int held, int returned, int needed, int wanted) {}
