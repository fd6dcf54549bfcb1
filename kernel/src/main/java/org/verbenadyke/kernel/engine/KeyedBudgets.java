package org.verbenadyke.kernel.engine;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenadyke.kernel.budget.RootBudget;

/**
 * Retry budgets of requests with an idempotency key. A resend by the caller shares the budget of the first attempt
 * instead of getting a new one.
 */
final class KeyedBudgets {
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final long retentionNanos;

    private KeyedBudgets(long retentionNanos) {
        this.retentionNanos = retentionNanos;
    }

    static KeyedBudgets withRetention(long retentionNanos) {
        return new KeyedBudgets(retentionNanos);
    }

    /** Returns the budget of a key; each call after the first takes one retry from it to pay for the resend. */
    RootBudget of(String key, int retries, long now) {
        Entry created = new Entry(RootBudget.of(retries), now);
        Entry existing = entries.putIfAbsent(key, created);
        if (existing == null) {
            return created.budget();
        }
        existing.budget().take();
        return existing.budget();
    }

    void expire(long now) {
        entries.values().removeIf(e -> now - e.sinceNanos() > retentionNanos);
    }

    /**
     * One key's budget.
     *
     * @param budget the budget
     * @param sinceNanos when it was created, in nanoseconds
     */
    private record Entry(RootBudget budget, long sinceNanos) {}
}
