package org.verbenadyke.kernel.route;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the most bytes of a request's head
 * @param maxBodyBytes the most bytes of a request's body
 * @param headerTimeoutNanos how long a request's head may take to arrive, in nanoseconds
 * @param idleTimeoutNanos how long a connection without a request is kept, in nanoseconds
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {
    private static final int HEADER_BYTES = 16 * 1024;
    private static final long BODY_BYTES = 1024L * 1024;
    private static final long HEADER_NANOS = 10_000_000_000L;
    private static final long IDLE_NANOS = 60_000_000_000L;

    /**
     * Returns the limits that hold before a plan is known.
     *
     * @return common limits of HTTP servers
     */
    public static RequestLimits standard() {
        return new RequestLimits(HEADER_BYTES, BODY_BYTES, HEADER_NANOS, IDLE_NANOS);
    }
}
