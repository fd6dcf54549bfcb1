package org.verbenadyke.kernel.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A timer service on a virtual clock that moves only when told to. Single-threaded; the same subscriptions give the
 * same order of runs each time.
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
     * @param wallStartMillis the wall clock's reading at the start, in milliseconds since the epoch
     * @return the clock, at zero nanoseconds
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
     * Moves the clock on and runs what falls due, in order.
     *
     * @param nanos how far, in nanoseconds
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
     * Moves the clock on without running anything, as a paused process sees it.
     *
     * @param nanos how far, in nanoseconds
     */
    public void jump(long nanos) {
        now += nanos;
    }

    /**
     * One waiting task; a cancelled one stays in the queue until its time and does nothing then.
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
