package org.verbenadyke.standins.log;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * What goes wrong in the stand-in log. Set while it runs.
 */
final class LogSwitches {
    private volatile boolean outage;
    private volatile long slowMillis;
    private volatile int retention = Integer.MAX_VALUE;
    private final AtomicInteger loseAnswers = new AtomicInteger();

    boolean outage() {
        return outage;
    }

    void outage(boolean on) {
        outage = on;
    }

    long slowMillis() {
        return slowMillis;
    }

    void slowMillis(long millis) {
        slowMillis = millis;
    }

    int retention() {
        return retention;
    }

    void retention(int most) {
        retention = most;
    }

    void loseAnswers(int count) {
        loseAnswers.set(count);
    }

    /** Tells whether the answer to this append is to be lost. */
    boolean loseThisAnswer() {
        return loseAnswers.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
