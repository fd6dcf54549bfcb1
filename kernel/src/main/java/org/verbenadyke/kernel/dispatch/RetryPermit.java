package org.verbenadyke.kernel.dispatch;

import java.util.function.Consumer;

import org.verbenadyke.kernel.budget.RatioBudget;
import org.verbenadyke.kernel.call.RetryReason;

/**
 * Decides whether a retry is allowed: first by the retry ratio of the pair of services, then by the retry budget of the
 * whole chain.
 */
final class RetryPermit {
    private RetryPermit() {}

    /**
     * Requests a retry. The callback receives the decision exactly once, possibly on another thread. A lost connection
     * is no sign of overload, and no more calls are sent again than were in flight, so only the budget of the chain
     * limits such retries, unless the settings count every retry.
     */
    static void request(Dispatcher dispatcher, Request request, RetryReason reason, Consumer<Boolean> callback) {
        RatioBudget ratio = dispatcher.retryRatio(request);
        boolean connectionLost = reason == RetryReason.CONNECTION_LOST || reason == RetryReason.UPSTREAM_ENDED;
        boolean counted = dispatcher.settings().ratioCoversLostConnections() || !connectionLost;
        boolean limitedByRatio = dispatcher.settings().retryRatio() > 0 && counted;
        if (limitedByRatio && !ratio.take()) {
            dispatcher.parts().counters().retried(RetryReason.DENIED_RATIO);
            callback.accept(false);
            return;
        }
        request.budget().spend(granted -> {
            if (!granted) {
                if (limitedByRatio) {
                    ratio.putBack();
                }
                dispatcher.parts().counters().retried(RetryReason.DENIED_BUDGET);
            }
            callback.accept(granted);
        });
    }
}
