package org.verbenadyke.kernel.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The calls that a run of one kind of request makes, and how long it takes, learned from successful answers. Runs that
 * make different numbers of calls count as the largest seen lately, since the runs that fail are often the ones that
 * make most calls. Thread-safe.
 */
final class LearnedCalls implements KindTable.Aged {
    /** The weight of an answer with fewer calls than the largest number seen lately. */
    private static final double DECAY = 0.02;

    /** The weight of one answer in the mean time. */
    private static final double TIME_SMOOTHING = 0.05;

    /** How far a number of calls must decay towards the next lower one until it counts as that. */
    private static final double ROUNDING = 0.1;

    private final Map<String, Double> peaks = new TreeMap<>();
    private double meanNanos;
    private long lastNanos;

    private LearnedCalls(long nowNanos) {
        this.lastNanos = nowNanos;
    }

    static LearnedCalls startedAt(long nowNanos) {
        return new LearnedCalls(nowNanos);
    }

    synchronized void record(CallCounts calls, long elapsedNanos, long nowNanos) {
        peaks.replaceAll((service, peak) -> peak * (1 - DECAY));
        for (CallCounts.ServiceCalls made : calls.services()) {
            peaks.merge(made.service(), (double) made.calls(), (decayed, n) -> Math.max(decayed + DECAY * n, n));
        }
        peaks.values().removeIf(peak -> peak < ROUNDING);
        meanNanos += (meanNanos == 0 ? 1 : TIME_SMOOTHING) * (elapsedNanos - meanNanos);
        lastNanos = nowNanos;
    }

    /** Returns what one more run takes, empty if the chain has more services than can be counted. */
    synchronized Optional<RunCost> cost(String service) {
        List<CallCounts.ServiceCalls> calls = new ArrayList<>();
        peaks.forEach((s, peak) -> calls.add(new CallCounts.ServiceCalls(s, (int) Math.ceil(peak - ROUNDING))));
        if (calls.size() >= CallCounts.MAX_SERVICES) {
            return Optional.empty();
        }
        return Optional.of(new RunCost(new CallCounts(calls).plusOne(service), (long) meanNanos));
    }

    @Override
    public synchronized long lastNanos() {
        return lastNanos;
    }
}
