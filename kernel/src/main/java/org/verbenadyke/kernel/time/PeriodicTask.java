package org.verbenadyke.kernel.time;

/**
 * Re-subscribes a task after each of its runs until it is cancelled.
 */
final class PeriodicTask implements Subscription, Runnable {
    private final TimerService timers;
    private final long periodNanos;
    private final Runnable task;
    private volatile boolean cancelled;
    private volatile Subscription next;

    private PeriodicTask(TimerService timers, long periodNanos, Runnable task) {
        this.timers = timers;
        this.periodNanos = periodNanos;
        this.task = task;
    }

    static PeriodicTask start(TimerService timers, long periodNanos, Runnable task) {
        PeriodicTask periodic = new PeriodicTask(timers, periodNanos, task);
        periodic.next = timers.after(periodNanos, periodic);
        return periodic;
    }

    @Override
    public void run() {
        if (cancelled) {
            return;
        }
        try {
            task.run();
        } finally {
            next = timers.after(periodNanos, this);
        }
    }

    @Override
    public void cancel() {
        cancelled = true;
        next.cancel();
    }
}
