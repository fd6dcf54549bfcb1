package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * The times of one received call on the local clock, in nanoseconds.
 */
final class CallTimes {
    private static final long NANOS_PER_MICRO = 1_000L;

    /**
     * How long a non-idempotent call may run at the upstream after its deadline, in multiples of the maximum time to
     * live.
     */
    private static final int NON_IDEMPOTENT_EXTRA_TTLS = 2;

    private final Message.Call call;
    private final TimerService timers;
    private final ServeSettings settings;
    private final long receivedNanos;
    private final long deadlineNanos;
    private long handedOverNanos;
    private long headNanos;
    private long endNanos;

    private CallTimes(Message.Call call, TimerService timers, ServeSettings settings) {
        this.call = call;
        this.timers = timers;
        this.settings = settings;
        this.receivedNanos = timers.nanos();
        long ttl = Math.min(call.ttlMicros() * NANOS_PER_MICRO, settings.maxTtlNanos());
        this.deadlineNanos = receivedNanos + ttl;
    }

    /** Creates the times of a call that has just been received. */
    static CallTimes receivedNow(Message.Call call, TimerService timers, ServeSettings settings) {
        return new CallTimes(call, timers, settings);
    }

    long now() {
        return timers.nanos();
    }

    long received() {
        return receivedNanos;
    }

    long deadline() {
        return deadlineNanos;
    }

    /** Runs a task when the deadline passes. */
    Subscription atDeadline(Runnable task) {
        return timers.after(deadlineNanos - receivedNanos, task);
    }

    long due() {
        return receivedNanos + call.dueMicros() * NANOS_PER_MICRO;
    }

    /** Records that the call is about to be handed over. */
    void recordHandOver() {
        handedOverNanos = now();
    }

    /** Returns when the call was handed over, 0 if it wasn't. */
    long handedOver() {
        return handedOverNanos;
    }

    /** Records that the head of the answer has arrived. */
    void recordHead() {
        headNanos = now();
    }

    /** Returns how long the upstream took to begin its answer, or how long the call was there without one. */
    long latency(long nowNanos) {
        return (headNanos == 0 ? nowNanos : headNanos) - handedOverNanos;
    }

    /** Records that the call is over, and returns the time. */
    long recordEnd() {
        endNanos = now();
        return endNanos;
    }

    /** Returns for how long the call has held a slot until the head of its answer, or its end without one. */
    long slotNanos() {
        return latency(endNanos == 0 ? now() : endNanos);
    }

    /** Returns whether the call may have waited unread for longer than its time to live. */
    boolean isStale() {
        return Freshness.isStale(call, now(), settings.fenceGraceNanos());
    }

    /** Returns how long a non-idempotent call may keep running after its deadline. */
    long graceAfterDeadline() {
        return settings.maxTtlNanos() * NON_IDEMPOTENT_EXTRA_TTLS;
    }

    /** Returns whether the grace period after the deadline is over. */
    boolean graceExpired() {
        return now() - deadlineNanos >= graceAfterDeadline();
    }
}
