package org.verbenadyke.kernel.trace;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.time.TimerService;

/**
 * Limits the number of log lines of each kind per second, and counts the lines it suppresses. Thread-safe.
 *
 * <p>Load pattern: under overload a node refuses some hundred requests a second for the same reason. The first lines of
 * a second say as much as the others would, and writing all of them would take up the processor time that is short.
 */
public final class LineRateLimiter {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final TimerService timers;
    private final int maxLines;
    private final Map<String, Window> windows = new ConcurrentHashMap<>();

    private LineRateLimiter(TimerService timers, int maxLines) {
        this.timers = timers;
        this.maxLines = maxLines;
    }

    /**
     * Creates a rate limiter.
     *
     * @param timers the clock
     * @param maxLines the maximum number of lines of each kind per second
     * @return the rate limiter
     */
    public static LineRateLimiter of(TimerService timers, int maxLines) {
        return new LineRateLimiter(timers, maxLines);
    }

    /**
     * Requests to write a line.
     *
     * @param kind the kind of the line
     * @return how many lines of the kind were suppressed before this one, or -1 if this line must be suppressed too
     */
    public int take(String kind) {
        long now = timers.nanos();
        Window window = windows.computeIfAbsent(kind, k -> new Window(now));
        return window.take(now, maxLines);
    }

    /** Counts the lines of one kind in the current second. */
    private static final class Window {
        private final AtomicInteger suppressed = new AtomicInteger();
        private long startNanos;
        private int lines;

        private Window(long now) {
            startNanos = now;
        }

        synchronized int take(long now, int maxLines) {
            if (now - startNanos >= SECOND_NANOS) {
                startNanos = now;
                lines = 0;
            }
            if (lines >= maxLines) {
                suppressed.incrementAndGet();
                return -1;
            }
            lines++;
            return suppressed.getAndSet(0);
        }
    }
}
