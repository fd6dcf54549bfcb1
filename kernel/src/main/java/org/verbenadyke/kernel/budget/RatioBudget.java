package org.verbenadyke.kernel.budget;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the retries from one service to another to a ratio of the successful calls between them, so that retries do
 * not add to the load of a failing service.
 */
public final class RatioBudget {
    private static final long UNIT = 1_000L;

    private final AtomicLong credit;
    private final long creditPerSuccess;
    private final long maxCredit;

    private RatioBudget(double ratio, int burst) {
        this.creditPerSuccess = Math.round(ratio * UNIT);
        this.maxCredit = burst * UNIT;
        this.credit = new AtomicLong(maxCredit);
    }

    /**
     * Creates a full budget.
     *
     * @param ratio retries per success, such as 0.1
     * @param burst the maximum number of saved retries
     * @return the budget
     */
    public static RatioBudget of(double ratio, int burst) {
        return new RatioBudget(ratio, burst);
    }

    /** Records a successful call. */
    public void succeeded() {
        long seen = credit.get();
        while (seen < maxCredit && !credit.compareAndSet(seen, Math.min(maxCredit, seen + creditPerSuccess))) {
            seen = credit.get();
        }
    }

    /**
     * Takes one retry.
     *
     * @return whether the budget allows it
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

    /** Returns a retry that was taken but not made. */
    public void putBack() {
        long seen = credit.get();
        while (!credit.compareAndSet(seen, Math.min(maxCredit, seen + UNIT))) {
            seen = credit.get();
        }
    }
}
