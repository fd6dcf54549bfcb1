package org.verbenadyke.node.http1;

/**
 * The timeouts of connections to one server.
 *
 * @param connectMillis the connect timeout, in milliseconds
 * @param idleNanos how long an idle connection may be reused if its server sends no keep-alive timeout, in nanoseconds
 */
public record PoolSettings(int connectMillis, long idleNanos) {
    /** A nearby server accepts within milliseconds; a lost packet costs one second. */
    private static final int CONNECT_MILLIS = 1_200;

    /** Shorter than the keep-alive time of common HTTP servers, which is 5 s and more. */
    private static final long IDLE_NANOS = 4_000_000_000L;

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static PoolSettings standard() {
        return new PoolSettings(CONNECT_MILLIS, IDLE_NANOS);
    }
}
