package org.verbenadyke.kernel.quota;

/**
 * What the dealer of a team's permits answers.
 *
 * @param granted permits for the node that asked
 * @param afterMillis after how long one more is free for it, in milliseconds; 0 if it got all that it needs now
 */
record Deal(int granted, long afterMillis) {}
