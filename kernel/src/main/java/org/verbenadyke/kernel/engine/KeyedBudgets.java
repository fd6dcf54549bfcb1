package org.verbenadyke.kernel.engine;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenadyke.kernel.budget.RootBudget;

/**
 * The budgets of requests that carry an idempotency key, so that a caller's own resend draws on what the first try
 * left.
 */
final class KeyedBudgets {
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final long retentionNanos;

    private KeyedBudgets(long retentionNanos) {
        this.retentionNanos = retentionNanos;
    }

    static KeyedBudgets keeping(long retentionNanos) {
        return new KeyedBudgets(retentionNanos);
    }

    /** Returns the budget of a key; each call after the first takes one retry out of it for the resend itself. */
    RootBudget of(String key, int retries, long now) {
        Entry fresh = new Entry(RootBudget.of(retries), now);
        Entry seen = entries.putIfAbsent(key, fresh);
        if (seen == null) {
            return fresh.budget();
        }
        seen.budget().take();
        return seen.budget();
    }

    void expire(long now) {
        entries.values().removeIf(e -> now - e.since() > retentionNanos);
    }

    /**
     * One key's budget.
     *
     * @param budget the budget
     * @param since when it was minted, in nanoseconds
     */
    private record Entry(RootBudget budget, long since) {}
}
