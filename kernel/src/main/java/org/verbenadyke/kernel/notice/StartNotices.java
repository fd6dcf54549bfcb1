package org.verbenadyke.kernel.notice;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * What one start of an upstream has stated about itself in its answers. Thread-safe.
 */
public final class StartNotices {
    /** Identifies a start whose identity isn't known. */
    public static final long UNKNOWN_START = 0;

    private final long start;
    private final AnnouncedRate rate = AnnouncedRate.unlimited();
    private final AtomicBoolean leaving = new AtomicBoolean();

    private StartNotices(long start) {
        this.start = start;
    }

    /**
     * Creates the notices of a start that has stated nothing.
     *
     * @param start identifies the start, {@link #UNKNOWN_START} if its identity isn't known
     * @return the notices
     */
    public static StartNotices of(long start) {
        return new StartNotices(start);
    }

    /**
     * Returns whether these are the notices of a start.
     *
     * @param other identifies the start
     * @return whether both are known and the same
     */
    public boolean isOf(long other) {
        return start != UNKNOWN_START && start == other;
    }

    /**
     * Returns the identity of the start.
     *
     * @return a number, {@link #UNKNOWN_START} if the identity isn't known
     */
    public long start() {
        return start;
    }

    /**
     * Returns the rate limit that the upstream names.
     *
     * @return the rate limit
     */
    public AnnouncedRate rate() {
        return rate;
    }

    /**
     * Records that the upstream stated that it is leaving. It can't take that back.
     *
     * @return whether that is new
     */
    public boolean recordLeaving() {
        return leaving.compareAndSet(false, true);
    }

    /**
     * Returns whether the upstream stated that it is leaving.
     *
     * @return whether it did
     */
    public boolean leaving() {
        return leaving.get();
    }
}
