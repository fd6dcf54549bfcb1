package org.verbenadyke.kernel.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * The repetitions of one service that one node may still grant. They are earned by the requests that callers send for
 * the service at this node, and, up to a part of the slack, by time; a node that starts begins with none. So all nodes
 * together grant no more than all callers' requests allow, without knowing of each other, and a start refills nothing.
 * Not thread-safe.
 */
final class ServiceAllowance {
    /**
     * The part of the ratio that requests earn. The rest covers repetitions that arrive later than they were granted,
     * and what nodes have saved up.
     */
    private static final double EARNED_PART = 0.65;

    /** How much of what the requests of one window allow a node may save up. */
    private static final double SAVED_PART = 0.1;

    /** The part of the slack that all nodes together may save up beyond that. */
    private static final double SAVED_SLACK_PART = 0.35;

    /** The part of the slack that all nodes together earn in one window, requests or not. */
    private static final double EARNED_SLACK_PART = 0.15;

    private final AllowanceSettings settings;
    private final Map<Integer, Double> phases = new HashMap<>();
    private double level;
    private double recentRequests;
    private int mostNodes = 1;
    private long updatedNanos;
    private long granted;
    private long denied;

    private ServiceAllowance(AllowanceSettings settings, long now) {
        this.settings = settings;
        this.updatedNanos = now;
    }

    static ServiceAllowance startingAt(long now, AllowanceSettings settings) {
        return new ServiceAllowance(settings, now);
    }

    /** Records a request of a caller for the service. */
    void requested(long now) {
        advance(now);
        recentRequests++;
        level = Math.min(saveable(), level + EARNED_PART * settings.ratio());
    }

    /**
     * Sets how many nodes share the slack. A node that loses sight of others keeps the share that it had.
     *
     * @param nodes the number of nodes known now
     */
    void shareAmong(int nodes, long now) {
        mostNodes = Math.max(mostNodes, nodes);
        advance(now);
    }

    /**
     * Returns whether a retry is granted that can be paid for in part. It is, with that part as its chance; and of
     * several retries with as many calls, as many are granted as their parts add up to, give or take one.
     *
     * @param calls how often the retry would reach the service
     * @param part the part that is paid, from 0 to 1
     * @param startingPhase the phase to begin with, random from 0 to 1
     */
    boolean grantsPart(int calls, double part, DoubleSupplier startingPhase) {
        Double before = phases.get(calls);
        double phase = (before == null ? startingPhase.getAsDouble() : before) + part;
        phases.put(calls, phase >= 1 ? phase - 1 : phase);
        return phase >= 1;
    }

    /** Takes repetitions; the level must not fall below zero. */
    void take(double repetitions) {
        level -= repetitions;
    }

    /** Counts the decision about a retry that would reach the service a number of times. */
    void decided(boolean isGranted, int calls) {
        if (isGranted) {
            granted += calls;
        } else {
            denied += calls;
        }
    }

    /** Returns what is left and what was decided so far. */
    RetryAllowance.Status status(String service) {
        return new RetryAllowance.Status(service, level, saveable(), granted, denied);
    }

    /** Returns the repetitions that may be granted. */
    double level() {
        return level;
    }

    /** Returns the most repetitions that may be saved up. */
    double saveable() {
        return SAVED_PART * settings.ratio() * recentRequests + SAVED_SLACK_PART * settings.slack() / mostNodes;
    }

    private void advance(long now) {
        double windows = Math.max(0, now - updatedNanos) / (double) settings.windowNanos();
        updatedNanos = Math.max(updatedNanos, now);
        recentRequests *= Math.exp(-windows);
        level = Math.min(saveable(), level + EARNED_SLACK_PART * settings.slack() / mostNodes * windows);
    }
}
