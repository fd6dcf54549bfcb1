package org.verbenadyke.kernel.budget;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * The retry count of a request, held by the node where the request entered.
 */
public final class RootBudget implements RetryBudget {
    private final AtomicInteger left;

    private RootBudget(int retries) {
        this.left = new AtomicInteger(retries);
    }

    /**
     * Creates a budget.
     *
     * @param retries the number of retries that the whole call chain may make
     * @return the budget
     */
    public static RootBudget of(int retries) {
        return new RootBudget(retries);
    }

    /**
     * Takes one retry.
     *
     * @return whether one was left
     */
    public boolean take() {
        int seen = left.get();
        while (seen > 0) {
            if (left.compareAndSet(seen, seen - 1)) {
                return true;
            }
            seen = left.get();
        }
        return false;
    }

    /**
     * Returns the number of retries left.
     *
     * @return the number of retries
     */
    public int left() {
        return left.get();
    }

    @Override
    public void spend(Consumer<Boolean> decision) {
        decision.accept(take());
    }
}
