package org.verbenadyke.node.http1;

/**
 * What one server connection accepts.
 *
 * @param headerBytes the most bytes of a request's head
 * @param bodyBytes the most bytes of a request's body; bodies are held whole
 * @param idleNanos how long a connection without a request is kept, in nanoseconds
 */
public record ServerLimits(int headerBytes, int bodyBytes, long idleNanos) {}
