package org.verbenadyke.bench.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the arrivals at one upstream against the rate limits that it names. Once it has named limits for
 * {@link #STABILITY_NANOS}, the arrivals within any {@link #WINDOW_NANOS} must not exceed 1.5 times the limit,
 * integrated over the window, plus 5.
 */
final class ArrivalCheck {
    static final long STABILITY_NANOS = 3 * Lab.SECOND;
    static final long WINDOW_NANOS = 4 * Lab.SECOND;
    private static final double TOLERANCE = 1.5;
    private static final int SLACK = 5;

    private final Deque<Long> arrivals = new ArrayDeque<>();
    private final TreeMap<Long, Double> limits = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long limitedSinceNanos = Long.MAX_VALUE;
    private double worstShare;

    /** Records that the upstream names another limit from now on, or none if the limit is infinite. */
    void limit(double perSecond, long nowNanos) {
        boolean limited = !limits.isEmpty() && limits.lastEntry().getValue() != Double.POSITIVE_INFINITY;
        limits.put(nowNanos, perSecond);
        if (perSecond == Double.POSITIVE_INFINITY) {
            limitedSinceNanos = Long.MAX_VALUE;
        } else if (!limited) {
            limitedSinceNanos = nowNanos;
            arrivals.clear();
        }
    }

    /** Records an arrival from a node that has passed on an answer with the limit. */
    void arrived(long nowNanos) {
        if (limitedSinceNanos == Long.MAX_VALUE) {
            return;
        }
        arrivals.add(nowNanos);
        while (arrivals.getFirst() <= nowNanos - WINDOW_NANOS) {
            arrivals.removeFirst();
        }
        if (nowNanos - limitedSinceNanos < STABILITY_NANOS) {
            return;
        }
        double allowed = TOLERANCE * allowance(nowNanos) + SLACK;
        worstShare = Math.max(worstShare, arrivals.size() / allowed);
        if (arrivals.size() > allowed) {
            violations.add(arrivals.size() + " of " + (int) allowed + " in 4 s at " + nowNanos / Lab.MILLI + " ms");
        }
    }

    /** Returns a description of each arrival that exceeded the limit. */
    List<String> violations() {
        return violations;
    }

    /** Returns the highest share of the allowed arrivals that was reached in a window. */
    double worstShare() {
        return worstShare;
    }

    /** Returns the limit, integrated over the window before a time; the first limit counts for the time before it. */
    private double allowance(long nowNanos) {
        double sum = 0;
        long end = nowNanos;
        for (Map.Entry<Long, Double> e :
                limits.headMap(nowNanos, true).descendingMap().entrySet()) {
            boolean first = e.getKey() <= limitedSinceNanos;
            long begin = first ? nowNanos - WINDOW_NANOS : Math.max(e.getKey(), nowNanos - WINDOW_NANOS);
            sum += e.getValue() * (end - begin) / Lab.SECOND;
            end = begin;
            if (begin == nowNanos - WINDOW_NANOS) {
                break;
            }
        }
        return sum;
    }
}
