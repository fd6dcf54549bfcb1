package org.verbenadyke.kernel.route;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/**
 * The rates at which the requests of one kind arrive at this node, by class of requests. Thread-safe; one thread at a
 * time calls {@link #endPeriod}.
 */
final class KindTraffic {
    /** The time constant over which rates are smoothed: long against the calls of one request. */
    private static final double SMOOTHING_NANOS = 10e9;

    /** The maximum number of classes per kind, as callers choose the methods and may choose the paths. */
    private static final int MAX_CLASSES = 16;

    /** The rate below which a class is dropped: no request for about a minute. */
    private static final double MIN_PER_SECOND = 0.002;

    private final Map<RequestClass, Arrivals> classes = new ConcurrentHashMap<>();

    private KindTraffic() {}

    static KindTraffic none() {
        return new KindTraffic();
    }

    /** Counts an arriving request; requests of further classes are not counted once there are too many. */
    void arrived(RequestClass requests) {
        Arrivals known = classes.get(requests);
        if (known == null && classes.size() < MAX_CLASSES) {
            known = classes.computeIfAbsent(requests, c -> new Arrivals());
        }
        if (known != null) {
            known.count.increment();
        }
    }

    void endPeriod(long nanos) {
        double weight = -Math.expm1(-nanos / SMOOTHING_NANOS);
        classes.values().forEach(a -> a.endPeriod(nanos, weight));
        classes.values().removeIf(a -> a.perSecond < MIN_PER_SECOND);
    }

    /** Returns the classes of which requests arrived lately. */
    Set<RequestClass> classes() {
        return classes.keySet().stream().filter(c -> perSecond(c) > 0).collect(Collectors.toSet());
    }

    /** Returns whether requests arrived lately. */
    boolean active() {
        return classes.values().stream().anyMatch(a -> a.perSecond > 0);
    }

    double perSecond(RequestClass requests) {
        Arrivals known = classes.get(requests);
        return known == null ? 0 : known.perSecond;
    }

    /** The arrivals of one class. */
    private static final class Arrivals {
        private final LongAdder count = new LongAdder();
        private volatile double perSecond;

        private void endPeriod(long nanos, double weight) {
            double measured = count.sumThenReset() * 1e9 / nanos;
            perSecond += weight * (measured - perSecond);
        }
    }
}
