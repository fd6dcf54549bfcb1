package org.verbenadyke.kernel.time;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs a task once for all requests that arrive within a short time. Thread-safe.
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
     * Creates a debounced task.
     *
     * @param timers the timers
     * @param delayNanos how long after the first request the task runs, in nanoseconds
     * @param task the task
     * @return the debounce
     */
    public static Debounce of(TimerService timers, long delayNanos, Runnable task) {
        return new Debounce(timers, delayNanos, task);
    }

    /** Requests a run. A request that arrives after the task started causes another run. */
    public void request() {
        if (requested.compareAndSet(false, true)) {
            timers.after(delayNanos, () -> {
                requested.set(false);
                task.run();
            });
        }
    }
}
