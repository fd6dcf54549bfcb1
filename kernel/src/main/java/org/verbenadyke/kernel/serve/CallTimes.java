package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.time.TimerService;

/**
 * The times of one received call on the local clock, in nanoseconds.
 */
final class CallTimes {
    private static final long NANOS_PER_MICRO = 1_000L;

    /** How many of the longest times to live a call that must run once may outlast its deadline at the upstream. */
    private static final int NON_IDEMPOTENT_EXTRA_TTLS = 2;

    private final Message.Call call;
    private final TimerService timers;
    private final ServeSettings settings;
    private final long receivedNanos;
    private final long deadlineNanos;

    private CallTimes(Message.Call call, TimerService timers, ServeSettings settings) {
        this.call = call;
        this.timers = timers;
        this.settings = settings;
        this.receivedNanos = timers.nanos();
        long ttl = Math.min(call.ttlMicros() * NANOS_PER_MICRO, settings.maxTtlNanos());
        this.deadlineNanos = receivedNanos + ttl;
    }

    /** Notes that a call is received now. */
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

    long due() {
        return receivedNanos + call.dueMicros() * NANOS_PER_MICRO;
    }

    /** Tells whether the call may have waited unseen for longer than its time to live. */
    boolean isStale() {
        return Freshness.isStale(call, now(), settings.fenceGraceNanos());
    }

    /** Returns how long a call that must run once is still awaited after its deadline. */
    long graceAfterDeadline() {
        return settings.maxTtlNanos() * NON_IDEMPOTENT_EXTRA_TTLS;
    }

    /** Tells whether that time is over, too. */
    boolean graceExpired() {
        return now() - deadlineNanos >= graceAfterDeadline();
    }
}
