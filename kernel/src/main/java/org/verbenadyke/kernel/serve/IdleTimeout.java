package org.verbenadyke.kernel.serve;

import java.util.function.BooleanSupplier;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Finds an answer that has begun and makes no progress though more of it is wanted. Runs inside the serial runner of
 * its call.
 */
final class IdleTimeout implements Subscription {
    private final TimerService timers;
    private final long mostNanos;
    private final SerialExecutor serial;
    private final BooleanSupplier wanting;
    private final Runnable expired;
    private long progressNanos;
    private Subscription next;
    private boolean over;

    private IdleTimeout(
            TimerService timers, long mostNanos, SerialExecutor serial, BooleanSupplier wanting, Runnable expired) {
        this.timers = timers;
        this.mostNanos = mostNanos;
        this.serial = serial;
        this.wanting = wanting;
        this.expired = expired;
        this.progressNanos = timers.nanos();
    }

    /** Starts to watch; {@code expired} is run at most once, in the serial runner. */
    static IdleTimeout start(
            TimerService timers, long mostNanos, SerialExecutor serial, BooleanSupplier wanting, Runnable expired) {
        IdleTimeout timeout = new IdleTimeout(timers, mostNanos, serial, wanting, expired);
        timeout.arm(mostNanos);
        return timeout;
    }

    void progressed() {
        progressNanos = timers.nanos();
    }

    @Override
    public void cancel() {
        over = true;
        next.cancel();
    }

    private void arm(long nanos) {
        next = timers.after(nanos, () -> serial.run(this::look));
    }

    private void look() {
        if (over) {
            return;
        }
        long idle = timers.nanos() - progressNanos;
        if (idle < mostNanos || !wanting.getAsBoolean()) {
            arm(idle < mostNanos ? mostNanos - idle : mostNanos);
            return;
        }
        over = true;
        expired.run();
    }
}
