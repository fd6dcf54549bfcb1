package org.verbenadyke.standins.upstream;

import java.util.concurrent.ThreadLocalRandom;

/**
 * How a stand-in upstream behaves at the moment; switches change it while it runs.
 */
final class Behaviour {
    private static final int COLD_FACTOR = 4;
    private static final int PERCENT = 100;

    private final UpstreamSettings settings;
    private final long startMillis = System.currentTimeMillis();
    private volatile double slow = 1;
    private volatile int failPercent;
    private volatile double reportedLoad = -1;

    Behaviour(UpstreamSettings settings) {
        this.settings = settings;
        this.failPercent = settings.failPercent();
    }

    void slow(double factor) {
        slow = factor;
    }

    void failPercent(int percent) {
        failPercent = percent;
    }

    /** Makes the load endpoint lie; a negative load makes it tell the truth again. */
    void reportLoad(double load) {
        reportedLoad = load;
    }

    long serviceMillis() {
        boolean cold = System.currentTimeMillis() - startMillis < settings.coldMillis();
        return Math.round(settings.serviceMillis() * slow * (cold ? COLD_FACTOR : 1));
    }

    boolean failsNow() {
        return failPercent > 0 && ThreadLocalRandom.current().nextInt(PERCENT) < failPercent;
    }

    double load(int actual) {
        return reportedLoad >= 0 ? reportedLoad : (double) actual / settings.slots();
    }
}
