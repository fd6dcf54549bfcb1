package org.verbenadyke.kernel.budget;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the retries from one service to another to a share of the successes between them, so that a failing service is
 * not fed by the retries it causes.
 */
public final class RatioBudget {
    private static final long UNIT = 1_000L;

    private final AtomicLong credit;
    private final long gain;
    private final long cap;

    private RatioBudget(double ratio, int burst) {
        this.gain = Math.round(ratio * UNIT);
        this.cap = burst * UNIT;
        this.credit = new AtomicLong(cap);
    }

    /**
     * Creates a full budget.
     *
     * @param ratio retries per success, such as 0.1
     * @param burst how many retries can be saved up
     * @return the budget
     */
    public static RatioBudget of(double ratio, int burst) {
        return new RatioBudget(ratio, burst);
    }

    /** Notes a success. */
    public void succeeded() {
        long seen = credit.get();
        while (seen < cap && !credit.compareAndSet(seen, Math.min(cap, seen + gain))) {
            seen = credit.get();
        }
    }

    /**
     * Takes one retry.
     *
     * @return whether the share allows it
     */
    public boolean take() {
        long seen = credit.get();
        while (seen >= UNIT) {
            if (credit.compareAndSet(seen, seen - UNIT)) {
                return true;
            }
            seen = credit.get();
        }
        return false;
    }

    /** Gives back a retry that was taken and not made. */
    public void putBack() {
        long seen = credit.get();
        while (!credit.compareAndSet(seen, Math.min(cap, seen + UNIT))) {
            seen = credit.get();
        }
    }
}
