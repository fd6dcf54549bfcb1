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
 * Timers on the thread that serves connections: exact, and without a wake-up a tick, which matters on a machine where
 * each wake-up is paid for. On that thread the clock is read once a turn of the loop: a request looks at it some tens
 * of times, and a turn is short against every time that is measured by it.
 */
public final class EventLoopTimerService implements TimerService {
    private static final Logger LOG = LogManager.getLogger("timer");

    private final EventExecutor loop;
    private final Runnable forget = () -> read = false;
    private final long origin = System.nanoTime();
    private boolean read;
    private long now;

    private EventLoopTimerService(EventExecutor loop) {
        this.loop = loop;
    }

    /**
     * Creates timers on a loop.
     *
     * @param loop the loop
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
        if (!read) {
            read = true;
            now = System.nanoTime();
            loop.execute(forget);
        }
        return now;
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
     * Runs a task at each multiple of its period from this process's start. Load pattern: many nodes with little to do
     * on one machine, in which each wake-up is paid for; periods that divide each other then share their wake-ups.
     */
    @Override
    public Subscription every(long periodNanos, Runnable task) {
        return PeriodicTask.aligned(this, origin, periodNanos, task);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("A timer's task failed; the others go on.", e);
        }
    }
}
