package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.budget.RetryBudget;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;

/**
 * A request to be sent to any upstream of a service.
 *
 * @param id the id that all calls of the chain share
 * @param caller the service of the calling upstream, empty for a request from an external caller
 * @param service the called service
 * @param content the request that the upstream receives
 * @param importance the importance of the request
 * @param depth the depth in the call chain, 0 for a request from a caller
 * @param deadlineNanos the deadline, on the local clock
 * @param dueNanos when the target latency passes, on the local clock; the deadline if there is no target latency
 * @param idempotent whether the request may run more than once
 * @param key the idempotency key, empty if none
 * @param returning whether the caller was refused before and retries after a Retry-After
 * @param surplus whether the request belongs to the surplus of its team
 * @param budget the retry budget
 * @param observer is notified of the outcome
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
        boolean surplus,
        RetryBudget budget,
        ChainObserver observer) {
    /**
     * Returns the same request with another observer.
     *
     * @param other the observer
     * @return the request
     */
    public Request observedBy(ChainObserver other) {
        return copy(deadlineNanos, dueNanos, other);
    }

    /**
     * Returns the same request with an earlier deadline.
     *
     * @param nanos the deadline, on the local clock
     * @return the request
     */
    public Request withDeadline(long nanos) {
        return copy(nanos, Math.min(dueNanos, nanos), observer);
    }

    private Request copy(long newDeadlineNanos, long newDueNanos, ChainObserver newObserver) {
        return new Request(
                id,
                caller,
                service,
                content,
                importance,
                depth,
                newDeadlineNanos,
                newDueNanos,
                idempotent,
                key,
                returning,
                surplus,
                budget,
                newObserver);
    }

    /**
     * Returns the class of paths that admission levels are tracked by: method and first segment of the path.
     *
     * @return the class
     */
    public String pathClass() {
        return pathClass(content);
    }

    /**
     * Returns the class of paths of a request.
     *
     * @param content the request that the upstream receives
     * @return the class
     */
    public static String pathClass(Message.Content content) {
        String path = content.path();
        int end = 1;
        while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
            end++;
        }
        return content.method() + " " + path.substring(0, Math.min(end, path.length()));
    }
}
