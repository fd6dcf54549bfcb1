package org.verbenadyke.kernel.time;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs a task once for all requests that come within a short time. Safe for many threads.
 */
public final class Debounce {
    private final TimerService timers;
    private final long delayNanos;
    private final Runnable task;
    private final AtomicBoolean requested = new AtomicBoolean();

    private Debounce(TimerService timers, long delayNanos, Runnable task) {
        this.timers = timers;
        this.delayNanos = delayNanos;
        this.task = task;
    }

    /**
     * Creates one.
     *
     * @param timers the time
     * @param delayNanos how long after the first request the task runs, in nanoseconds
     * @param task the task
     * @return the debounce
     */
    public static Debounce of(TimerService timers, long delayNanos, Runnable task) {
        return new Debounce(timers, delayNanos, task);
    }

    /** Asks for a run. What is asked for after the task began is done by a further run. */
    public void request() {
        if (requested.compareAndSet(false, true)) {
            timers.after(delayNanos, () -> {
                requested.set(false);
                task.run();
            });
        }
    }
}
