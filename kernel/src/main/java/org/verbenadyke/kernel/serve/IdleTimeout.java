package org.verbenadyke.kernel.serve;

import java.util.function.BooleanSupplier;

import org.verbenadyke.kernel.concurrent.Serial;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Finds an answer that has begun and makes no progress though more of it is wanted. Runs inside the serial runner of
 * its call.
 */
final class IdleTimeout implements Subscription {
    private final TimerService timers;
    private final long timeoutNanos;
    private final Serial serial;
    private final BooleanSupplier expectingMore;
    private final Runnable onExpired;
    private long progressNanos;
    private Subscription timer;
    private boolean stopped;

    private IdleTimeout(TimerService timers, long mostNanos, Serial serial, BooleanSupplier wanting, Runnable expired) {
        this.timers = timers;
        this.timeoutNanos = mostNanos;
        this.serial = serial;
        this.expectingMore = wanting;
        this.onExpired = expired;
        this.progressNanos = timers.nanos();
    }

    /** Starts to watch; {@code expired} is run at most once, in the serial runner. */
    static IdleTimeout start(
            TimerService timers, long mostNanos, Serial serial, BooleanSupplier wanting, Runnable expired) {
        IdleTimeout timeout = new IdleTimeout(timers, mostNanos, serial, wanting, expired);
        timeout.arm(mostNanos);
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
