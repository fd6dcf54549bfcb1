package org.verbenadyke.node.http1;

/**
 * How connections to one server are kept.
 *
 * @param connectMillis how long a new connection may take, in milliseconds
 * @param idleNanos how long a connection is used again when its server names no time, in nanoseconds
 */
public record PoolSettings(int connectMillis, long idleNanos) {
    /** A server near by accepts within milliseconds; a lost packet costs one second. */
    private static final int CONNECT_MILLIS = 1_200;

    /** Shorter than the keep-alive time of common HTTP servers, which is 5 s and more. */
    private static final long IDLE_NANOS = 4_000_000_000L;

    /**
     * Returns the settings in use unless others are given.
     *
     * @return the settings
     */
    public static PoolSettings standard() {
        return new PoolSettings(CONNECT_MILLIS, IDLE_NANOS);
    }
}
