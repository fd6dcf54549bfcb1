package org.verbenadyke.kernel.time;

import java.util.function.LongSupplier;

/**
 * Schedules a task again after each of its runs until it is cancelled.
 */
public final class PeriodicTask implements Subscription, Runnable {
    private final TimerService timers;
    private final LongSupplier delayNanos;
    private final Runnable task;
    private volatile boolean cancelled;
    private volatile Subscription next;

    private PeriodicTask(TimerService timers, LongSupplier delayNanos, Runnable task) {
        this.timers = timers;
        this.delayNanos = delayNanos;
        this.task = task;
    }

    /** Runs a task repeatedly, with a fixed delay after each run. */
    static PeriodicTask start(TimerService timers, long periodNanos, Runnable task) {
        return subscribe(new PeriodicTask(timers, () -> periodNanos, task));
    }

    /**
     * Runs a task at the multiples of its period. Multiples that passed while it ran are skipped.
     *
     * @param timers the timers
     * @param originNanos the time from which the multiples are counted
     * @param periodNanos the period, in nanoseconds
     * @param task the task
     * @return the subscription, to cancel it
     */
    public static Subscription aligned(TimerService timers, long originNanos, long periodNanos, Runnable task) {
        LongSupplier untilNext = () -> periodNanos - Math.floorMod(timers.nanos() - originNanos, periodNanos);
        return subscribe(new PeriodicTask(timers, untilNext, task));
    }

    @Override
    public void run() {
        if (cancelled) {
            return;
        }
        try {
            task.run();
        } finally {
            subscribe(this);
        }
    }

    @Override
    public void cancel() {
        cancelled = true;
        next.cancel();
    }

    private static PeriodicTask subscribe(PeriodicTask periodic) {
        periodic.next = periodic.timers.after(periodic.delayNanos.getAsLong(), periodic);
        return periodic;
    }
}
