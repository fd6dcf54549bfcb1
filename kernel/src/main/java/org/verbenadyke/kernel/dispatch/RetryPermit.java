package org.verbenadyke.kernel.dispatch;

import java.util.function.Consumer;

import org.verbenadyke.kernel.budget.RatioBudget;
import org.verbenadyke.kernel.call.RetryReason;

/**
 * Asks whether a retry may be made: first the share of the pair of services, then the budget of the whole chain.
 */
final class RetryPermit {
    private RetryPermit() {}

    /**
     * Asks; the decision is told once, perhaps on another thread. A lost connection says nothing of the service's load,
     * and no more is sent again than was in flight, so that only the chain's budget bounds it, unless the settings
     * count every retry.
     */
    static void ask(Dispatcher dispatcher, Request request, RetryReason reason, Consumer<Boolean> decision) {
        RatioBudget ratio = dispatcher.ratio(request);
        boolean lost = reason == RetryReason.CONNECTION_LOST || reason == RetryReason.UPSTREAM_ENDED;
        boolean counted = dispatcher.settings().ratioCoversLostConnections() || !lost;
        boolean bounded = dispatcher.settings().retryRatio() > 0 && counted;
        if (bounded && !ratio.take()) {
            dispatcher.parts().counters().retried(RetryReason.DENIED_RATIO);
            decision.accept(false);
            return;
        }
        request.budget().spend(granted -> {
            if (!granted) {
                if (bounded) {
                    ratio.putBack();
                }
                dispatcher.parts().counters().retried(RetryReason.DENIED_BUDGET);
            }
            decision.accept(granted);
        });
    }
}
