package org.verbenadyke.node.http1;

/**
 * Detects that a body which memory is reserved for has stopped arriving. Changed by the connection's event loop only;
 * may be read by any thread.
 */
final class StallDetector {
    /**
     * The longest pause between two parts of a body, in nanoseconds. A packet that is lost four times is sent again
     * within about 3 s, so that a caller that pauses longer has most likely stalled.
     */
    static final long MAX_PAUSE_NANOS = 3_000_000_000L;

    private volatile boolean watching;
    private volatile long lastPartNanos;

    /** Begins to watch a body. */
    void begin(long nowNanos) {
        lastPartNanos = nowNanos;
        watching = true;
    }

    /** Called for each part of the body. */
    void partArrived(long nowNanos) {
        lastPartNanos = nowNanos;
    }

    /** Called when the body is complete or is not read any more. */
    void end() {
        watching = false;
    }

    /** Returns whether a body is being watched. */
    boolean watching() {
        return watching;
    }

    /** Returns whether the body has stalled. */
    boolean stalled(long nowNanos) {
        return watching && nowNanos - lastPartNanos > MAX_PAUSE_NANOS;
    }
}
