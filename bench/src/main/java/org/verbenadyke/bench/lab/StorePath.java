package org.verbenadyke.bench.lab;

/**
 * The path from one emulated process to the operators' record. Calls that are in flight when the path falls silent are
 * never answered.
 */
final class StorePath {
    private State state = State.OPEN;
    private int silences;

    /** Changes the state of the path. */
    void become(State next) {
        if (next == State.SILENT && state != State.SILENT) {
            silences++;
        }
        state = next;
    }

    State state() {
        return state;
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
