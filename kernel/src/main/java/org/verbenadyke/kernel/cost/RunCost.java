package org.verbenadyke.kernel.cost;

/**
 * What one more run of a request takes.
 *
 * @param calls the calls of the run at each service of its chain, the run itself included
 * @param nanos how long it typically takes, in nanoseconds
 */
public record RunCost(CallCounts calls, long nanos) {}
