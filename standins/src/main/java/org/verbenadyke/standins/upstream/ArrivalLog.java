package org.verbenadyke.standins.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Checks the arrivals at a stand-in upstream against the rate limit that it names: once it has named it for three
 * seconds, any four seconds may have 1.5 times as many arrivals, and five more. Only requests from nodes that were sent
 * an answer with the limit half a second before count. Thread-safe.
 */
final class ArrivalLog {
    private static final long STABILITY_MILLIS = 3_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long RELAY_MILLIS = 500;
    private static final double TOLERANCE = 1.5;
    private static final int SLACK = 5;

    private final LongSupplier clockMillis;
    private final Deque<Long> arrivals = new ArrayDeque<>();
    private final Map<String, Long> informed = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private double perSecond = Double.POSITIVE_INFINITY;
    private long namedMillis;

    /** Creates a log of an upstream without a limit, with a clock in milliseconds. */
    ArrivalLog(LongSupplier clockMillis) {
        this.clockMillis = clockMillis;
    }

    /** Records that the upstream names a limit from now on, or none if it is infinite. */
    synchronized void limit(double newPerSecond) {
        perSecond = newPerSecond;
        namedMillis = clockMillis.getAsLong();
        arrivals.clear();
        informed.clear();
    }

    /** Records that a node is sent an answer. */
    synchronized void answered(String node) {
        if (perSecond != Double.POSITIVE_INFINITY) {
            informed.putIfAbsent(node, clockMillis.getAsLong());
        }
    }

    /** Records a request of a node. */
    synchronized void arrived(String node) {
        long now = clockMillis.getAsLong();
        boolean counts = now - informed.getOrDefault(node, Long.MAX_VALUE / 2) >= RELAY_MILLIS;
        if (!counts) {
            return;
        }
        arrivals.add(now);
        while (arrivals.getFirst() <= now - WINDOW_MILLIS) {
            arrivals.removeFirst();
        }
        double allowed = TOLERANCE * perSecond * WINDOW_MILLIS / 1_000 + SLACK;
        if (now - namedMillis >= STABILITY_MILLIS && arrivals.size() > allowed) {
            violations.add(
                    arrivals.size() + " requests in 4 s, allowed " + (int) allowed + " at " + perSecond + " a second");
        }
    }

    /** Returns each arrival over the limit. */
    synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
