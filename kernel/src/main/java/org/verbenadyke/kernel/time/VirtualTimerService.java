package org.verbenadyke.kernel.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A timer service on a virtual clock that moves only when advanced explicitly. Single-threaded; the same subscriptions
 * always run in the same order.
 */
public final class VirtualTimerService implements TimerService {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PriorityQueue<Entry> queue =
            new PriorityQueue<>(Comparator.comparingLong(Entry::due).thenComparingLong(Entry::order));
    private final long wallStartMillis;
    private long now;
    private long order;

    private VirtualTimerService(long wallStartMillis) {
        this.wallStartMillis = wallStartMillis;
    }

    /**
     * Creates a clock.
     *
     * @param wallStartMillis the initial time of the wall clock, in milliseconds since the epoch
     * @return the timer service, with its monotonic clock at zero nanoseconds
     */
    public static VirtualTimerService startingAt(long wallStartMillis) {
        return new VirtualTimerService(wallStartMillis);
    }

    @Override
    public long nanos() {
        return now;
    }

    @Override
    public long wallMillis() {
        return wallStartMillis + now / NANOS_PER_MILLI;
    }

    @Override
    public Subscription after(long delayNanos, Runnable task) {
        Entry entry = new Entry(now + Math.max(0, delayNanos), order++, task);
        queue.add(entry);
        return entry::cancel;
    }

    /**
     * Advances the clock and runs the tasks that fall due, in order.
     *
     * @param nanos how far to advance, in nanoseconds
     */
    public void advance(long nanos) {
        long end = now + nanos;
        while (!queue.isEmpty() && queue.peek().due() <= end) {
            Entry entry = queue.poll();
            now = Math.max(now, entry.due());
            entry.run();
        }
        now = end;
    }

    /**
     * Advances the clock without running any task, as if the process had been paused.
     *
     * @param nanos how far to advance, in nanoseconds
     */
    public void jump(long nanos) {
        now += nanos;
    }

    /**
     * A scheduled task. A cancelled task stays in the queue until it is due, and does nothing then.
     */
    private static final class Entry {
        private final long due;
        private final long order;
        private Runnable task;

        private Entry(long due, long order, Runnable task) {
            this.due = due;
            this.order = order;
            this.task = task;
        }

        long due() {
            return due;
        }

        long order() {
            return order;
        }

        void cancel() {
            task = null;
        }

        void run() {
            if (task != null) {
                task.run();
            }
        }
    }
}
