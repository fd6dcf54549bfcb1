package org.verbenadyke.bench.lab;

/**
 * The path from one emulated process to the operators' record. Calls that are in flight when the path falls silent are
 * never answered.
 */
final class StorePath {
    private State state = State.OPEN;
    private long changedNanos;
    private int silences;

    /** Changes the state of the path. */
    void become(State next, long nowNanos) {
        if (next == State.SILENT && state != State.SILENT) {
            silences++;
        }
        state = next;
        changedNanos = nowNanos;
    }

    State state() {
        return state;
    }

    /** Returns since when the path has been open, {@link Long#MAX_VALUE} if it isn't. */
    long openSinceNanos() {
        return state == State.OPEN ? changedNanos : Long.MAX_VALUE;
    }

    /** Returns how often the path has fallen silent. */
    int silences() {
        return silences;
    }

    /**
     * What becomes of calls.
     */
    enum State {
        /** Calls are performed and answered. */
        OPEN,
        /** Calls are neither performed nor answered. */
        SILENT,
        /** Calls are refused at once. */
        REFUSING
    }
}
