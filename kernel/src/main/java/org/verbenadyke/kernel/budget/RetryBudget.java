package org.verbenadyke.kernel.budget;

import java.util.function.Consumer;

import org.verbenadyke.kernel.cost.CallCounts;

/**
 * The retry budget of a request. The count is held by the node where the request entered; every other node requests
 * retries from its calling node, so that no count is lost with a connection and parallel calls share one count.
 */
public sealed interface RetryBudget permits RootBudget, ParentBudget {
    /**
     * Requests one retry.
     *
     * @param calls the calls that the retry would make at each service of its chain; none if it reaches no upstream
     *     again
     * @param callback called once, possibly on another thread, with whether the retry may be made
     */
    void spend(CallCounts calls, Consumer<RetryDecision> callback);
}
