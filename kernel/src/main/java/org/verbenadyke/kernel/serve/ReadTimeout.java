package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Ends the reading of an answer that has begun and has no end: one that makes no progress although more data was
 * requested, one that nobody waits for any more, and one that goes on for very long after its deadline. Runs inside the
 * serial executor of its call.
 */
final class ReadTimeout implements Subscription {
    /**
     * How long an answer is read that nobody waits for any more, in nanoseconds. Until then its upstream can end it, so
     * that the connection can be used again, and an answer that is stored can become complete.
     */
    static final long MAX_ABANDONED_NANOS = 5_000_000_000L;

    /** How much of such an answer is read, in bytes. */
    static final long MAX_ABANDONED_BYTES = 4L * 1024 * 1024;

    private final TimerService timers;
    private final long stallNanos;
    private final SerialExecutor serial;
    private final CallTimes times;
    private final AnswerWriter answer;
    private final Runnable onExpired;
    private long progressNanos;
    private long abandonedNanos;
    private long abandonedBytes;
    private boolean abandoned;
    private Subscription timer;
    private boolean stopped;

    private ReadTimeout(CallServer server, SerialExecutor serial, CallTimes times, AnswerWriter answer, Runnable task) {
        this.timers = server.parts().timers();
        this.stallNanos = server.settings().stallNanos();
        this.serial = serial;
        this.times = times;
        this.answer = answer;
        this.onExpired = task;
        this.progressNanos = timers.nanos();
    }

    /** Starts the timeout; {@code onExpired} is run at most once, in the serial executor. */
    static ReadTimeout start(
            CallServer server, SerialExecutor serial, CallTimes times, AnswerWriter answer, Runnable onExpired) {
        ReadTimeout timeout = new ReadTimeout(server, serial, times, answer, onExpired);
        timeout.arm(timeout.stallNanos);
        return timeout;
    }

    /** Called for each part of the answer, after it was written. */
    void progressed(int bytes) {
        if (stopped) {
            return;
        }
        progressNanos = timers.nanos();
        if (answer.abandoned()) {
            if (!abandoned) {
                abandoned = true;
                abandonedNanos = progressNanos;
            }
            abandonedBytes += bytes;
        }
        boolean unwanted = abandonedBytes > MAX_ABANDONED_BYTES
                || abandoned && progressNanos - abandonedNanos >= MAX_ABANDONED_NANOS;
        if (unwanted || times.graceExpired()) {
            expire();
        }
    }

    @Override
    public void cancel() {
        stopped = true;
        timer.cancel();
    }

    private void arm(long nanos) {
        timer = timers.after(nanos, () -> serial.run(this::check));
    }

    private void check() {
        if (stopped) {
            return;
        }
        long idle = timers.nanos() - progressNanos;
        if (idle < stallNanos || !answer.wantsMore()) {
            arm(idle < stallNanos ? stallNanos - idle : stallNanos);
            return;
        }
        expire();
    }

    private void expire() {
        cancel();
        onExpired.run();
    }
}
