package org.verbenadyke.kernel.admission;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Estimates an upstream's capacity from the calls that the upstream sheds and from its throughput. The limit grows
 * while it is used up and growth raises the throughput. It shrinks when the upstream sheds, or when growth only raised
 * the latency. Latency alone doesn't shrink the limit: a service that is slow because of the services it calls still
 * has all its slots.
 *
 * <p>The limit changes at most once per window; calls in between only update the counters of the window. All state is
 * one immutable record that is replaced atomically.
 */
public final class AdaptiveLimit implements ConcurrencyLimit {
    private static final long WINDOW_NANOS = 100_000_000L;
    private static final int MIN_WINDOW_CALLS = 8;
    private static final double GROWTH = 1.25;
    private static final double SHED_DECREASE = 0.92;
    private static final double PLATEAU_DECREASE = 0.85;
    private static final double SATURATION = 0.8;
    private static final double MIN_GAIN = 0.25;
    private static final double MIN_SETTLED_STEP = 1.0;
    private static final int HOLD_WINDOWS = 10;
    private static final double SMOOTHING = 0.3;

    private final LimitSettings settings;
    private final AtomicReference<State> state;

    private AdaptiveLimit(LimitSettings settings) {
        this.settings = settings;
        this.state = new AtomicReference<>(
                new State(settings.initial(), true, 0, 0, 0, 0, Window.startingAt(Long.MIN_VALUE)));
    }

    /**
     * Creates a limit.
     *
     * @param settings the initial value and the bounds
     * @return the limit, at its initial value
     */
    public static AdaptiveLimit of(LimitSettings settings) {
        return new AdaptiveLimit(settings);
    }

    @Override
    public int current() {
        return (int) state.get().limit;
    }

    @Override
    public void finished(long nowNanos, long latencyNanos, int inFlight, Outcome outcome) {
        if (outcome == Outcome.IGNORED) {
            return;
        }
        State seen;
        State next;
        do {
            seen = state.get();
            next = step(seen, nowNanos, latencyNanos, inFlight, outcome);
        } while (!state.compareAndSet(seen, next));
    }

    private State step(State s, long now, long latency, int inFlight, Outcome outcome) {
        Window w = s.window.plus(now, latency, inFlight, outcome);
        if (outcome == Outcome.SHED && s.limit > inFlight * SHED_DECREASE) {
            return s.with(clamp(inFlight * SHED_DECREASE), false, HOLD_WINDOWS, Window.startingAt(now));
        }
        if (!w.full(now)) {
            return s.with(s.limit, s.rampingUp, s.holdWindows, w);
        }
        return closeWindow(s, w, now);
    }

    private State closeWindow(State s, Window w, long now) {
        double throughput = w.throughput(now);
        if (w.peak < s.limit * SATURATION) {
            return s.with(s.limit, s.rampingUp, Math.max(0, s.holdWindows - 1), Window.startingAt(now));
        }
        if (s.holdWindows > 0) {
            return s.settled(s.limit, throughput, w.latency(), s.holdWindows - 1, now);
        }
        if (growthRaisedOnlyLatency(s, throughput, w.latency())) {
            return s.settled(clamp(s.limit * PLATEAU_DECREASE), throughput, w.latency(), HOLD_WINDOWS, now);
        }
        double grown =
                s.rampingUp ? s.limit * GROWTH : s.limit + Math.max(MIN_SETTLED_STEP, s.limit * (GROWTH - 1) / 2);
        return new State(clamp(grown), s.rampingUp, 0, s.limit, throughput, w.latency(), Window.startingAt(now));
    }

    private boolean growthRaisedOnlyLatency(State s, double throughput, double latency) {
        if (s.previousLimit <= 0 || s.limit <= s.previousLimit || s.previousThroughput <= 0) {
            return false;
        }
        double limitGain = s.limit / s.previousLimit - 1;
        double throughputGain = throughput / s.previousThroughput - 1;
        double latencyGain = latency / s.previousLatency - 1;
        return throughputGain < limitGain * MIN_GAIN && latencyGain > limitGain * MIN_GAIN;
    }

    private double clamp(double limit) {
        return Math.min(settings.maximum(), Math.max(settings.minimum(), limit));
    }

    /**
     * The state between two changes.
     *
     * @param limit the current limit
     * @param rampingUp whether the limit has not reached the capacity of the upstream for the first time yet
     * @param holdWindows the number of windows to wait before the limit may grow again
     * @param previousLimit the limit before the last growth, 0 if none
     * @param previousThroughput calls per second at that limit
     * @param previousLatency mean latency at that limit, in nanoseconds
     * @param window the current window
     */
    private record State(
            double limit,
            boolean rampingUp,
            int holdWindows,
            double previousLimit,
            double previousThroughput,
            double previousLatency,
            Window window) {
        State with(double newLimit, boolean newRampingUp, int newHoldWindows, Window w) {
            return new State(
                    newLimit, newRampingUp, newHoldWindows, previousLimit, previousThroughput, previousLatency, w);
        }

        State settled(double newLimit, double throughput, double latency, int newHoldWindows, long now) {
            double t = previousThroughput + SMOOTHING * (throughput - previousThroughput);
            double l = previousLatency + SMOOTHING * (latency - previousLatency);
            return new State(newLimit, false, newHoldWindows, newLimit, t, l, Window.startingAt(now));
        }
    }

    /**
     * The measurements of one window.
     *
     * @param start when the window began, in nanoseconds
     * @param calls the number of finished calls
     * @param latencySum the sum of their latencies, in nanoseconds
     * @param peak the maximum number of calls in flight
     */
    private record Window(long start, int calls, long latencySum, int peak) {
        static Window startingAt(long now) {
            return new Window(now, 0, 0, 0);
        }

        Window plus(long now, long latency, int inFlight, Outcome outcome) {
            long begin = start == Long.MIN_VALUE ? now : start;
            int more = outcome == Outcome.ANSWERED ? 1 : 0;
            return new Window(begin, calls + more, latencySum + more * latency, Math.max(peak, inFlight));
        }

        boolean full(long now) {
            return calls >= MIN_WINDOW_CALLS && now - start >= WINDOW_NANOS;
        }

        double throughput(long now) {
            return calls * 1e9 / Math.max(1, now - start);
        }

        double latency() {
            return (double) latencySum / Math.max(1, calls);
        }
    }
}
