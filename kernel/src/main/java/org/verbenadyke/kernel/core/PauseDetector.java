package org.verbenadyke.kernel.core;

import org.verbenadyke.kernel.time.TimerService;

/**
 * Detects pauses of the whole process.
 */
final class PauseDetector {
    private static final long TICK_NANOS = 100_000_000L;
    private static final long MIN_PAUSE_NANOS = 2_000_000_000L;

    private final TimerService timers;
    private final Runnable paused;
    private volatile long tickNanos;

    private PauseDetector(TimerService timers, Runnable paused) {
        this.timers = timers;
        this.paused = paused;
        this.tickNanos = timers.nanos();
    }

    /** Runs a task after each pause from now on. */
    static void start(TimerService timers, Runnable paused) {
        PauseDetector detector = new PauseDetector(timers, paused);
        timers.every(TICK_NANOS, detector::tick);
    }

    private void tick() {
        long now = timers.nanos();
        boolean late = now - tickNanos > MIN_PAUSE_NANOS;
        tickNanos = now;
        if (late) {
            paused.run();
        }
    }
}
