package org.verbenadyke.node.http1;

/**
 * The limits of one server connection.
 *
 * @param headerBytes the maximum size of a request's head, in bytes
 * @param bodyBytes the maximum size of a request's body, in bytes; bodies are held in memory as a whole
 * @param idleNanos how long an idle connection is kept open, in nanoseconds
 */
public record ServerLimits(int headerBytes, int bodyBytes, long idleNanos) {}
