package org.verbenadyke.kernel.trace;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.time.TimerService;

/**
 * Bounds how many lines of each kind go out a second, and counts those left out. Safe for many threads.
 *
 * <p>Load pattern: under overload some hundred requests a second are refused on a node for the same reason; the first
 * lines of a second tell what the others would, and writing all of them would cost what is short.
 */
public final class LineRateLimiter {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final TimerService timers;
    private final int linesMost;
    private final Map<String, Second> seconds = new ConcurrentHashMap<>();

    private LineRateLimiter(TimerService timers, int linesMost) {
        this.timers = timers;
        this.linesMost = linesMost;
    }

    /**
     * Creates a budget.
     *
     * @param timers the time
     * @param linesMost lines of each kind in a second
     * @return the budget
     */
    public static LineRateLimiter of(TimerService timers, int linesMost) {
        return new LineRateLimiter(timers, linesMost);
    }

    /**
     * Asks for a line.
     *
     * @param kind the line's kind
     * @return how many lines of the kind were left out before it, or -1 when it is to be left out too
     */
    public int take(String kind) {
        long now = timers.nanos();
        Second second = seconds.computeIfAbsent(kind, k -> new Second(now));
        return second.take(now, linesMost);
    }

    /** The lines of one kind in the current second. */
    private static final class Second {
        private final AtomicInteger left = new AtomicInteger();
        private long begun;
        private int lines;

        private Second(long now) {
            begun = now;
        }

        synchronized int take(long now, int most) {
            if (now - begun >= SECOND_NANOS) {
                begun = now;
                lines = 0;
            }
            if (lines >= most) {
                left.incrementAndGet();
                return -1;
            }
            lines++;
            return left.getAndSet(0);
        }
    }
}
