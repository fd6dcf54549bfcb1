package org.verbenadyke.kernel.link;

/**
 * How links are watched.
 *
 * @param tickNanos how often each link is looked at, in nanoseconds
 * @param probeAfterNanos after how much silence a waiting node asks for a sign of life, in nanoseconds
 * @param lostAfterNanos after how much silence a waited-on link counts as lost, in nanoseconds
 * @param idleProbeNanos how often a link on which nobody waits proves itself, in nanoseconds
 * @param connectTimeoutNanos how long a connection may take to be ready, in nanoseconds
 */
public record LinkSettings(long tickNanos, long probeAfterNanos, long lostAfterNanos, long idleProbeNanos, long connectTimeoutNanos) {
    private static final long MILLI = 1_000_000L;
    private static final long DEFAULT_TICK_MILLIS = 100;
    private static final long DEFAULT_PROBE_AFTER_MILLIS = 200;
    private static final long DEFAULT_LOST_AFTER_MILLIS = 800;
    private static final long DEFAULT_IDLE_PROBE_MILLIS = 3_000;
    private static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

    /**
     * Returns the settings in use unless others are given.
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
