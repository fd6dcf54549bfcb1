package org.verbenadyke.kernel.config;

/**
 * How often the configuration's stream is read and written.
 *
 * @param followed whether the stream is read at all; a node that is given its configuration otherwise reads none
 * @param pollMillis how long a close reader lets the log wait for an entry, in milliseconds
 * @param idleNanos how often the other nodes look, in nanoseconds
 * @param retryNanos how long to wait after a failure, in nanoseconds
 * @param confirmNanos how long a confirmation waits for the log to show it, in nanoseconds
 * @param snapshotNanos how often the state is written again, in nanoseconds
 */
public record ConfigSettings(
        boolean followed, long pollMillis, long idleNanos, long retryNanos, long confirmNanos, long snapshotNanos) {
    private static final long SECOND = 1_000_000_000L;
    private static final long DEFAULT_POLL_MILLIS = 5_000;
    private static final long DEFAULT_IDLE_SECONDS = 30;
    private static final long DEFAULT_CONFIRM_SECONDS = 5;
    private static final long DEFAULT_SNAPSHOT_SECONDS = 600;

    /**
     * Returns the settings in use unless others are given.
     *
     * @return the settings
     */
    public static ConfigSettings standard() {
        return new ConfigSettings(
                true,
                DEFAULT_POLL_MILLIS,
                DEFAULT_IDLE_SECONDS * SECOND,
                SECOND,
                DEFAULT_CONFIRM_SECONDS * SECOND,
                DEFAULT_SNAPSHOT_SECONDS * SECOND);
    }

    /**
     * Returns the settings of a node that doesn't read the stream.
     *
     * @return the settings
     */
    public static ConfigSettings notFollowing() {
        ConfigSettings s = standard();
        return new ConfigSettings(false, s.pollMillis, s.idleNanos, s.retryNanos, s.confirmNanos, s.snapshotNanos);
    }
}
