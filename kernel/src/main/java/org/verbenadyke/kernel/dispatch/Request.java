package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.budget.RetryBudget;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;

/**
 * A request to be sent to some upstream of a service.
 *
 * @param id the request of the whole chain
 * @param caller the service of the calling upstream, empty for callers from outside
 * @param service the service called
 * @param content what the upstream gets
 * @param importance how much it matters
 * @param depth how many calls lie above it
 * @param deadlineNanos when nobody waits any more, on the local clock
 * @param dueNanos when its target latency passes, on the local clock; the deadline if it has none
 * @param idempotent whether it may run more than once
 * @param key the idempotency key, empty if none
 * @param returning whether its caller was refused before and came back later
 * @param budget where retries come from
 * @param observer who learns what came of it
 */
public record Request(
        RequestId id,
        String caller,
        String service,
        Message.Content content,
        Importance importance,
        int depth,
        long deadlineNanos,
        long dueNanos,
        boolean idempotent,
        String key,
        boolean returning,
        RetryBudget budget,
        ChainObserver observer) {
    /**
     * Returns the class that admission levels are kept for: method and first segment of the path.
     *
     * @return the class
     */
    public String pathClass() {
        String path = content.path();
        int end = 1;
        while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
            end++;
        }
        return content.method() + " " + path.substring(0, Math.min(end, path.length()));
    }
}
