package org.verbenadyke.kernel.link;

/**
 * Timeouts of the links between nodes.
 *
 * @param tickNanos how often each link is checked, in nanoseconds
 * @param probeAfterNanos after how much silence a node that awaits an answer sends a heartbeat, in nanoseconds
 * @param lostAfterNanos after how much silence a link with awaited answers counts as lost, in nanoseconds
 * @param idleProbeNanos how often a heartbeat is sent on a link without awaited answers, in nanoseconds
 * @param connectTimeoutNanos the timeout until a new connection is ready, in nanoseconds
 */
public record LinkSettings(
        long tickNanos, long probeAfterNanos, long lostAfterNanos, long idleProbeNanos, long connectTimeoutNanos) {
    private static final long MILLI = 1_000_000L;
    private static final long DEFAULT_TICK_MILLIS = 100;
    private static final long DEFAULT_PROBE_AFTER_MILLIS = 200;
    private static final long DEFAULT_LOST_AFTER_MILLIS = 800;
    private static final long DEFAULT_IDLE_PROBE_MILLIS = 3_000;
    private static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static LinkSettings standard() {
        return new LinkSettings(
                DEFAULT_TICK_MILLIS * MILLI,
                DEFAULT_PROBE_AFTER_MILLIS * MILLI,
                DEFAULT_LOST_AFTER_MILLIS * MILLI,
                DEFAULT_IDLE_PROBE_MILLIS * MILLI,
                DEFAULT_CONNECT_TIMEOUT_MILLIS * MILLI);
    }
}
