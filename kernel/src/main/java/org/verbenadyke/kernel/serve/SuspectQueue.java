package org.verbenadyke.kernel.serve;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Lets suspects run one at a time at an upstream; the others wait in the order in which they came. Safe for many
 * threads.
 *
 * <p>Load pattern: an upstream ends with some dozen calls, all are tried again, and the guilty one ends a second
 * upstream with about a third of them. Without the lane these would end up at the third one together, and all would
 * seem guilty; one after the other, at a tenth of a second each, they are answered within a second or two and cleared.
 */
final class SuspectQueue {
    private final Deque<SuspectedCall> waiting = new ArrayDeque<>();
    private SuspectedCall running;

    private SuspectQueue() {}

    static SuspectQueue empty() {
        return new SuspectQueue();
    }

    /** Asks to run; a call that may not run yet is told later by {@link SuspectedCall#resume}. */
    synchronized boolean tryStart(SuspectedCall call) {
        if (running == null || running == call) {
            running = call;
            return true;
        }
        waiting.add(call);
        return false;
    }

    /** Takes notice that a call has ended, whether it ran or still waited. */
    void finish(SuspectedCall call) {
        SuspectedCall next;
        synchronized (this) {
            waiting.remove(call);
            if (running != call) {
                return;
            }
            running = waiting.poll();
            next = running;
        }
        if (next != null) {
            next.resume();
        }
    }

    /** A call under which upstreams have ended. */
    interface SuspectedCall {
        /** Takes notice that the call may run now. */
        void resume();
    }
}
