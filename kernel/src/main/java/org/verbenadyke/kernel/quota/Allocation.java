package org.verbenadyke.kernel.quota;

/**
 * The answer of a team's permit allocator.
 *
 * @param granted permits leased to the requesting node
 * @param availableAfterMillis after how long one more permit is free for the node, in milliseconds; 0 if it got all
 *     that it needs now
 */
record Allocation(int granted, long availableAfterMillis) {}
