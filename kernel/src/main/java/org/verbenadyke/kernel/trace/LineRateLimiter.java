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
    private final int maxLines;
    private final Map<String, Window> seconds = new ConcurrentHashMap<>();

    private LineRateLimiter(TimerService timers, int linesMost) {
        this.timers = timers;
        this.maxLines = linesMost;
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
        Window second = seconds.computeIfAbsent(kind, k -> new Window(now));
        return second.take(now, maxLines);
    }

    /** The lines of one kind in the current second. */
    private static final class Window {
        private final AtomicInteger suppressed = new AtomicInteger();
        private long startNanos;
        private int lines;

        private Window(long now) {
            startNanos = now;
        }

        synchronized int take(long now, int most) {
            if (now - startNanos >= SECOND_NANOS) {
                startNanos = now;
                lines = 0;
            }
            if (lines >= most) {
                suppressed.incrementAndGet();
                return -1;
            }
            lines++;
            return suppressed.getAndSet(0);
        }
    }
}
