package org.verbenadyke.kernel.link;

/**
 * How links are watched.
 *
 * @param tickNanos how often each link is looked at, in nanoseconds
 * @param quietNanos after how much silence a waiting node asks for a sign of life, in nanoseconds
 * @param silentNanos after how much silence a waited-on link counts as lost, in nanoseconds
 * @param idleNanos how often a link on which nobody waits proves itself, in nanoseconds
 * @param connectNanos how long a connection may take to be ready, in nanoseconds
 */
public record LinkSettings(long tickNanos, long quietNanos, long silentNanos, long idleNanos, long connectNanos) {
    private static final long MILLI = 1_000_000L;
    private static final long DEFAULT_TICK_MILLIS = 100;
    private static final long DEFAULT_QUIET_MILLIS = 200;
    private static final long DEFAULT_SILENT_MILLIS = 800;
    private static final long DEFAULT_IDLE_MILLIS = 3_000;
    private static final long DEFAULT_CONNECT_MILLIS = 1_000;

    /**
     * Returns the settings in use unless others are given.
     *
     * @return the settings
     */
    public static LinkSettings standard() {
        return new LinkSettings(
                DEFAULT_TICK_MILLIS * MILLI,
                DEFAULT_QUIET_MILLIS * MILLI,
                DEFAULT_SILENT_MILLIS * MILLI,
                DEFAULT_IDLE_MILLIS * MILLI,
                DEFAULT_CONNECT_MILLIS * MILLI);
    }
}
