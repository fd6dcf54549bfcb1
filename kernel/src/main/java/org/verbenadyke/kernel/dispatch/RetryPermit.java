package org.verbenadyke.kernel.dispatch;

import java.util.Optional;
import java.util.function.Consumer;

import org.verbenadyke.kernel.budget.RatioBudget;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.cost.RunCost;

/**
 * Decides whether a retry is allowed: at this node first, then by the retry budget of the whole chain, which also
 * charges the allowance of each service that the retry would reach.
 */
final class RetryPermit {
    private final Dispatcher dispatcher;
    private final Request request;
    private final RetryReason reason;
    private final Consumer<Boolean> callback;

    private RetryPermit(Dispatcher dispatcher, Request request, RetryReason reason, Consumer<Boolean> callback) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.reason = reason;
        this.callback = callback;
    }

    /** Requests a retry. The callback receives the decision exactly once, possibly on another thread. */
    static void request(Dispatcher dispatcher, Request request, RetryReason reason, Consumer<Boolean> callback) {
        RetryPermit permit = new RetryPermit(dispatcher, request, reason, callback);
        if (!dispatcher.mayBeSent(request)) {
            permit.deny(RetryReason.DENIED_DEADLINE);
        } else if (dispatcher.settings().allowanceCharged() && reason.reachedUpstream()) {
            permit.spendAllowance();
        } else {
            permit.spendWithinRatio();
        }
    }

    private void spendAllowance() {
        Optional<RunCost> cost = dispatcher.runCosts().of(request.service(), request.pathClass());
        if (cost.isEmpty()) {
            deny(RetryReason.DENIED_UNKNOWN);
            return;
        }
        if (request.deadlineNanos() - dispatcher.parts().timers().nanos()
                < cost.get().nanos()) {
            deny(RetryReason.DENIED_DEADLINE);
            return;
        }
        spend(cost.get().calls(), () -> {});
    }

    /**
     * Requests a retry within the ratio of the pair of services. A lost connection is no sign of overload, and no more
     * calls are sent again than were in flight, so only the budget of the chain limits such retries.
     */
    private void spendWithinRatio() {
        boolean connectionLost = reason == RetryReason.CONNECTION_LOST || reason == RetryReason.UPSTREAM_ENDED;
        if (dispatcher.settings().retryRatio() <= 0 || connectionLost) {
            spend(CallCounts.NONE, () -> {});
            return;
        }
        RatioBudget ratio = dispatcher.retryRatio(request);
        if (!ratio.take()) {
            deny(RetryReason.DENIED_RATIO);
            return;
        }
        spend(CallCounts.NONE, ratio::putBack);
    }

    private void spend(CallCounts calls, Runnable onDenial) {
        request.budget().spend(calls, decision -> {
            if (!decision.granted()) {
                onDenial.run();
            }
            decision.denial().ifPresent(dispatcher.parts().counters()::retried);
            callback.accept(decision.granted());
        });
    }

    private void deny(RetryReason denial) {
        dispatcher.parts().counters().retried(denial);
        callback.accept(false);
    }
}
