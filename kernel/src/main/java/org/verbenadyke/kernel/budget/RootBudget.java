package org.verbenadyke.kernel.budget;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;

import org.verbenadyke.kernel.cost.CallCounts;

/**
 * The retry count of a request, held by the node where the request entered.
 */
public final class RootBudget implements RetryBudget {
    private final AtomicInteger left;
    private final Function<CallCounts, RetryDecision> allowance;

    private RootBudget(int retries, Function<CallCounts, RetryDecision> allowance) {
        this.left = new AtomicInteger(retries);
        this.allowance = allowance;
    }

    /**
     * Creates a budget.
     *
     * @param retries the number of retries that the whole call chain may make
     * @return the budget
     */
    public static RootBudget of(int retries) {
        return new RootBudget(retries, calls -> RetryDecision.GRANTED);
    }

    /**
     * Creates a budget whose retries also draw on an allowance.
     *
     * @param retries the number of retries that the whole call chain may make
     * @param allowance decides whether the calls of a retry are allowed, and charges them if so
     * @return the budget
     */
    public static RootBudget of(int retries, Function<CallCounts, RetryDecision> allowance) {
        return new RootBudget(retries, allowance);
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
    public void spend(CallCounts calls, Consumer<RetryDecision> callback) {
        if (!take()) {
            callback.accept(RetryDecision.DENIED_BUDGET);
            return;
        }
        RetryDecision decision = allowance.apply(calls);
        if (!decision.granted()) {
            left.incrementAndGet();
        }
        callback.accept(decision);
    }
}
