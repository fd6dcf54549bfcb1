package org.verbenadyke.standins.log;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faults injected into the stand-in log. Safe for many threads: faults change while the log serves requests.
 */
final class LogFaults {
    private volatile boolean outage;
    private volatile long slowMillis;
    private volatile int retention = Integer.MAX_VALUE;
    private final AtomicInteger answersToLose = new AtomicInteger();

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

    void retention(int maxRecords) {
        retention = maxRecords;
    }

    void loseAnswers(int count) {
        answersToLose.set(count);
    }

    /** Returns whether the answer to the current append is to be lost, and counts that answer down if so. */
    boolean consumeLostAnswer() {
        return answersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
