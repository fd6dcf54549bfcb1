package org.verbenadyke.kernel.serve;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Runs suspected calls one at a time at an upstream; the others wait in order of arrival. Thread-safe.
 *
 * <p>Load pattern: an upstream crashes with a few dozen requests in flight and all are retried; the request that
 * crashes servers then crashes a second upstream, with about a third of the requests in flight. Without the queue these
 * would reach the third upstream together, and all would seem to crash servers. Run one after the other, at a tenth of
 * a second each, the other requests in flight are answered and cleared within a second or two.
 */
final class SuspectQueue {
    private final Deque<SuspectedCall> waiting = new ArrayDeque<>();
    private SuspectedCall running;

    private SuspectQueue() {}

    static SuspectQueue empty() {
        return new SuspectQueue();
    }

    /**
     * Returns whether the call may run now; a call that must wait is notified later by {@link SuspectedCall#resume}.
     */
    synchronized boolean tryStart(SuspectedCall call) {
        if (running == null || running == call) {
            running = call;
            return true;
        }
        waiting.add(call);
        return false;
    }

    /** Called when a call has ended, whether it ran or still waited. */
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

    /** A call that was in flight when upstreams crashed. */
    interface SuspectedCall {
        /** Called when the call may run. */
        void resume();
    }
}
