package org.verbenadyke.kernel.engine;

import java.util.List;

import org.verbenadyke.kernel.budget.RetryAllowance;
import org.verbenadyke.kernel.budget.RetryBudget;
import org.verbenadyke.kernel.budget.RetryDecision;
import org.verbenadyke.kernel.budget.RootBudget;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * The retry budgets of requests that enter at this node. Thread-safe.
 */
final class EntryBudgets {
    private final Policy policy;
    private final EngineParts parts;
    private final KeyedBudgets keyed;
    private final RetryAllowance allowance;

    private EntryBudgets(EngineParts parts, Policy policy) {
        this.parts = parts;
        this.policy = policy;
        this.keyed = KeyedBudgets.withRetention(policy.keyRetentionNanos());
        this.allowance = RetryAllowance.create(policy.allowance(), parts.timers(), parts.random(), parts.fleetSize());
    }

    static EntryBudgets of(EngineParts parts, Policy policy) {
        return new EntryBudgets(parts, policy);
    }

    /** Creates the budget of a request whose retries are bounded by its route, and counts it as a caller's request. */
    RetryBudget enter(RoutedRequest routed, RequestId id, Importance importance) {
        if (routed.orphaned()) {
            return RootBudget.of(0);
        }
        allowance.requested(routed.service());
        return RootBudget.of(routed.route().attempts() - 1, calls -> charge(id, calls, importance));
    }

    /** Creates the budget of a request whose retries are bounded by the operators' configuration. */
    RetryBudget enter(InboundRequest inbound, RequestId id, Configuration config) {
        if (policy.perHopRetries() > 0) {
            return RootBudget.of(policy.perHopRetries());
        }
        if (!inbound.key().isEmpty()) {
            return keyed.of(
                    inbound.service() + " " + inbound.key(),
                    config.retries(),
                    parts.timers().nanos());
        }
        parts.ledger().budgetCreated(id, config.retries());
        return RootBudget.of(config.retries());
    }

    /** Returns what is left of the allowance for each service. */
    List<RetryAllowance.Status> status() {
        return allowance.status();
    }

    void expire(long now) {
        keyed.expire(now);
    }

    private RetryDecision charge(RequestId id, CallCounts calls, Importance importance) {
        RetryAllowance.Charge charge = allowance.charge(calls, importance);
        if (!charge.service().isEmpty()) {
            DecisionLog log = parts.decisions();
            log.note(new Decision.AllowanceCharged(id, importance, charge));
        }
        return charge.granted() ? RetryDecision.GRANTED : RetryDecision.DENIED_ALLOWANCE;
    }
}
