package org.verbenadyke.node.time;

import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Runs a task at the multiples of its period until it is cancelled; those that passed meanwhile are left out.
 */
final class AlignedTask implements Subscription, Runnable {
    private final TimerService timers;
    private final long origin;
    private final long periodNanos;
    private final Runnable task;
    private volatile boolean cancelled;
    private volatile Subscription next;

    private AlignedTask(TimerService timers, long origin, long periodNanos, Runnable task) {
        this.timers = timers;
        this.origin = origin;
        this.periodNanos = periodNanos;
        this.task = task;
    }

    static AlignedTask start(TimerService timers, long origin, long periodNanos, Runnable task) {
        AlignedTask aligned = new AlignedTask(timers, origin, periodNanos, task);
        aligned.schedule();
        return aligned;
    }

    @Override
    public void run() {
        if (cancelled) {
            return;
        }
        try {
            task.run();
        } finally {
            schedule();
        }
    }

    @Override
    public void cancel() {
        cancelled = true;
        next.cancel();
    }

    private void schedule() {
        long since = Math.floorMod(timers.nanos() - origin, periodNanos);
        next = timers.after(periodNanos - since, this);
    }
}
