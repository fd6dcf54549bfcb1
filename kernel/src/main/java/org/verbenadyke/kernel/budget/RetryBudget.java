package org.verbenadyke.kernel.budget;

import java.util.function.Consumer;

/**
 * Where a request's retries come from. The count stays where the request entered; every other hop asks up its chain,
 * so that nothing is lost with a connection and parallel calls draw on the same count.
 */
public sealed interface RetryBudget permits RootBudget, ParentBudget {
    /**
     * Asks for one retry.
     *
     * @param decision is told once whether the retry may be made, perhaps on another thread
     */
    void spend(Consumer<Boolean> decision);
}
