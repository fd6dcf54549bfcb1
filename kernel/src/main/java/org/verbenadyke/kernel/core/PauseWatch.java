package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.time.TimerService;

/**
 * Notices that the process stood still.
 */
final class PauseWatch {
    private static final long TICK_NANOS = 100_000_000L;
    private static final long PAUSE_NANOS = 2_000_000_000L;

    private final TimerService timers;
    private final Runnable paused;
    private volatile long tickNanos;

    private PauseWatch(TimerService timers, Runnable paused) {
        this.timers = timers;
        this.paused = paused;
        this.tickNanos = timers.nanos();
    }

    /** Runs a task after each pause from now on. */
    static void start(TimerService timers, Runnable paused) {
        PauseWatch watch = new PauseWatch(timers, paused);
        timers.every(TICK_NANOS, watch::tick);
    }

    private void tick() {
        long now = timers.nanos();
        boolean late = now - tickNanos > PAUSE_NANOS;
        tickNanos = now;
        if (late) {
            paused.run();
        }
    }
}
