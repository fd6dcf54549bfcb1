package org.verbenadyke.standins.upstream;

import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Current behaviour of a stand-in upstream: latency, failures and reported load, which can change while the upstream
 * runs. Safe for many threads.
 */
final class Behaviour {
    private static final int COLD_START_FACTOR = 4;
    private static final int PERCENT = 100;

    private final UpstreamSettings settings;
    private final long startMillis = System.currentTimeMillis();
    private volatile double slowdownFactor = 1;
    private volatile int failPercent;
    private volatile double loadOverride = -1;
    private volatile Map<String, String> notices = Map.of();

    Behaviour(UpstreamSettings settings) {
        this.settings = settings;
        this.failPercent = settings.failPercent();
    }

    void slowdown(double factor) {
        slowdownFactor = factor;
    }

    void failPercent(int percent) {
        failPercent = percent;
    }

    /** Overrides the load that the health endpoint reports; a negative value restores the actual load. */
    void overrideLoad(double load) {
        loadOverride = load;
    }

    /** Sets the header fields in which answers state something about the upstream. */
    void stateInAnswers(Map<String, String> newNotices) {
        notices = Map.copyOf(newNotices);
    }

    Map<String, String> notices() {
        return notices;
    }

    long serviceMillis() {
        boolean cold = System.currentTimeMillis() - startMillis < settings.coldMillis();
        return Math.round(settings.serviceMillis() * slowdownFactor * (cold ? COLD_START_FACTOR : 1));
    }

    boolean drawFailure() {
        return failPercent > 0 && ThreadLocalRandom.current().nextInt(PERCENT) < failPercent;
    }

    double reportedLoad(int activeAndQueuedCalls) {
        return loadOverride >= 0 ? loadOverride : (double) activeAndQueuedCalls / settings.slots();
    }
}
