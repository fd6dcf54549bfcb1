package org.verbenadyke.kernel.serve;

import java.util.function.BooleanSupplier;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Detects an answer that has begun but makes no progress although more data was requested. Runs inside the serial
 * executor of its call.
 */
final class StallTimeout implements Subscription {
    private final TimerService timers;
    private final long timeoutNanos;
    private final SerialExecutor serial;
    private final BooleanSupplier expectingMore;
    private final Runnable onExpired;
    private long progressNanos;
    private Subscription timer;
    private boolean stopped;

    private StallTimeout(
            TimerService timers,
            long timeoutNanos,
            SerialExecutor serial,
            BooleanSupplier expectingMore,
            Runnable onExpired) {
        this.timers = timers;
        this.timeoutNanos = timeoutNanos;
        this.serial = serial;
        this.expectingMore = expectingMore;
        this.onExpired = onExpired;
        this.progressNanos = timers.nanos();
    }

    /** Starts the timeout; {@code onExpired} is run at most once, in the serial executor. */
    static StallTimeout start(
            TimerService timers,
            long timeoutNanos,
            SerialExecutor serial,
            BooleanSupplier expectingMore,
            Runnable onExpired) {
        StallTimeout timeout = new StallTimeout(timers, timeoutNanos, serial, expectingMore, onExpired);
        timeout.arm(timeoutNanos);
        return timeout;
    }

    void progressed() {
        progressNanos = timers.nanos();
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
        if (idle < timeoutNanos || !expectingMore.getAsBoolean()) {
            arm(idle < timeoutNanos ? timeoutNanos - idle : timeoutNanos);
            return;
        }
        stopped = true;
        onExpired.run();
    }
}
