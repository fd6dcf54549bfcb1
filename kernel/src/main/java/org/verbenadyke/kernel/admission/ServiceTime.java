package org.verbenadyke.kernel.admission;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The minimum latency of an upstream in the current and the previous window. Used to refuse calls that can no longer
 * meet their deadline.
 */
final class ServiceTime {
    private static final long WINDOW_NANOS = 1_000_000_000L;

    private final AtomicReference<Minimum> state = new AtomicReference<>(new Minimum(0, 0, Long.MAX_VALUE));

    private ServiceTime() {}

    static ServiceTime unknown() {
        return new ServiceTime();
    }

    void observe(long nowNanos, long latencyNanos) {
        state.updateAndGet(m -> {
            if (nowNanos - m.start() > WINDOW_NANOS) {
                long previous = m.current() == Long.MAX_VALUE ? 0 : m.current();
                return new Minimum(nowNanos, previous, latencyNanos);
            }
            return latencyNanos < m.current() ? new Minimum(m.start(), m.previous(), latencyNanos) : m;
        });
    }

    long minNanos() {
        Minimum m = state.get();
        return Math.min(m.previous(), m.current());
    }

    /**
     * The minimum latencies, in nanoseconds.
     *
     * @param start when the current window began
     * @param previous the minimum of the previous window, 0 if unknown
     * @param current the minimum of the current window
     */
    private record Minimum(long start, long previous, long current) {}
}
