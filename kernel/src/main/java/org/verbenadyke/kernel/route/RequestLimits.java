package org.verbenadyke.kernel.route;

/**
 * Limits on the size of requests and on how long callers may take to send them.
 *
 * @param maxHeaderBytes maximum size of a request's head, in bytes
 * @param maxBodyBytes maximum size of a request's body, in bytes
 * @param headerTimeoutNanos timeout for receiving a request's head, in nanoseconds
 * @param idleTimeoutNanos how long an idle connection is kept open, in nanoseconds
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {
    private static final int HEADER_BYTES = 16 * 1024;
    private static final long BODY_BYTES = 1024L * 1024;
    private static final long HEADER_NANOS = 10_000_000_000L;
    private static final long IDLE_NANOS = 60_000_000_000L;

    /**
     * Returns the limits that apply before the first plan.
     *
     * @return common limits of HTTP servers
     */
    public static RequestLimits standard() {
        return new RequestLimits(HEADER_BYTES, BODY_BYTES, HEADER_NANOS, IDLE_NANOS);
    }
}
