package org.verbenadyke.node.time;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Timers on the thread that serves connections: exact, and without a wake-up a tick, which matters on a machine where
 * each wake-up is paid for.
 */
public final class LoopTimerService implements TimerService {
    private static final Logger LOG = LogManager.getLogger("timer");

    private final ScheduledExecutorService loop;

    private LoopTimerService(ScheduledExecutorService loop) {
        this.loop = loop;
    }

    /**
     * Creates timers on a loop.
     *
     * @param loop the loop
     * @return the timers
     */
    public static LoopTimerService on(ScheduledExecutorService loop) {
        return new LoopTimerService(loop);
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Subscription after(long delayNanos, Runnable task) {
        Future<?> future = loop.schedule(() -> run(task), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("A timer's task failed; the others go on.", e);
        }
    }
}
