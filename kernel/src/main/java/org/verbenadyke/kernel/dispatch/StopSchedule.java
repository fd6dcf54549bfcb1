package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.time.TimerService;

/**
 * Decides which requests a node that stops as planned still sends, so that each answer is there before the process
 * exits. In the first half of the stop it sends all, and their deadlines end with the stop; the other half is for their
 * answers. In the second half it sends only what ends in time whatever the upstream does: a request whose own deadline
 * passes before, and a call inside a chain that is due before, as refusing it would fail a request that is nearly done.
 * The rest is refused as not run. Thread-safe.
 */
final class StopSchedule {
    /** The time between the last deadline and the end of the stop, in nanoseconds: for the answers to be written. */
    static final long ANSWER_RESERVE_NANOS = 100_000_000L;

    private final TimerService timers;
    private volatile Stop stop = Stop.NONE;

    private StopSchedule(TimerService timers) {
        this.timers = timers;
    }

    /** Creates the schedule of a node that isn't stopping. */
    static StopSchedule none(TimerService timers) {
        return new StopSchedule(timers);
    }

    /**
     * Begins a stop.
     *
     * @param endNanos when the process exits, on the local clock
     */
    void begin(long endNanos) {
        long now = timers.nanos();
        stop = new Stop(true, now + (endNanos - now) / 2, endNanos - ANSWER_RESERVE_NANOS);
    }

    /** Returns a request with the deadline that it has in a stop. */
    Request limited(Request request) {
        Stop s = stop;
        boolean fits = !s.begun || request.deadlineNanos() - s.lastDeadlineNanos <= 0;
        return fits ? request : request.withDeadline(s.lastDeadlineNanos);
    }

    /** Returns whether a request may still be sent to an upstream. */
    boolean mayBeSent(Request request) {
        Stop s = stop;
        if (!s.begun || timers.nanos() - s.lastUnlimitedNanos < 0) {
            return true;
        }
        boolean due = request.depth() > 0 && request.dueNanos() - s.lastDeadlineNanos < 0;
        return due || request.deadlineNanos() - s.lastDeadlineNanos < 0;
    }

    /**
     * A stop.
     *
     * @param begun whether it has begun
     * @param lastUnlimitedNanos until when all requests are sent, on the local clock
     * @param lastDeadlineNanos the last deadline that a request may have, on the local clock
     */
    private record Stop(boolean begun, long lastUnlimitedNanos, long lastDeadlineNanos) {
        private static final Stop NONE = new Stop(false, 0, 0);
    }
}
