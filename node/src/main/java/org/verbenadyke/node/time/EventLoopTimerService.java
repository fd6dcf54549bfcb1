package org.verbenadyke.node.time;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.time.PeriodicTask;
import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

import io.netty.util.concurrent.EventExecutor;

/**
 * Timers on an event loop that serves connections. They are exact and cause no wake-up per tick, which matters on a
 * machine where each wake-up is costly. On the event loop the clock is read once per event-loop iteration: a request
 * queries the clock some tens of times, and an iteration is short compared with every duration that is measured.
 */
public final class EventLoopTimerService implements TimerService {
    private static final Logger LOG = LogManager.getLogger("timer");

    private final EventExecutor loop;
    private final Runnable clearCachedTime = () -> cached = false;
    private final long origin = System.nanoTime();
    private boolean cached;
    private long cachedNanos;

    private EventLoopTimerService(EventExecutor loop) {
        this.loop = loop;
    }

    /**
     * Creates timers on an event loop.
     *
     * @param loop the event loop
     * @return the timers
     */
    public static EventLoopTimerService on(EventExecutor loop) {
        return new EventLoopTimerService(loop);
    }

    @Override
    public long nanos() {
        if (!loop.inEventLoop()) {
            return System.nanoTime();
        }
        if (!cached) {
            cached = true;
            cachedNanos = System.nanoTime();
            loop.execute(clearCachedTime);
        }
        return cachedNanos;
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

    /**
     * Runs a task at each multiple of its period, counted from the creation of the timer service. Load pattern: many
     * nodes with little to do on one machine, where each wake-up is costly; periods that divide each other then share
     * their wake-ups.
     */
    @Override
    public Subscription every(long periodNanos, Runnable task) {
        return PeriodicTask.aligned(this, origin, periodNanos, task);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("A timer task failed; other timers continue.", e);
        }
    }
}
