package org.verbenadyke.kernel.serve;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.verbenadyke.kernel.budget.ParentBudget;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.dispatch.ChainObserver;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;

/**
 * The context that an upstream's nested calls inherit from the call it serves. The upstream sees only the token.
 */
public final class CallContext implements ChainObserver {
    private final String token;
    private final RequestId request;
    private final Importance importance;
    private final int depth;
    private final long deadlineNanos;
    private final ParentBudget budget;
    private final Set<String> services = ConcurrentHashMap.newKeySet();
    private volatile boolean childFailed;

    private CallContext(String token, Message.Call call, long deadlineNanos, Supplier<Link> link) {
        this.token = token;
        this.request = call.request();
        this.importance = call.importance();
        this.depth = call.depth();
        this.deadlineNanos = deadlineNanos;
        this.budget = ParentBudget.of(link, call.id());
    }

    /**
     * Creates the context of a received call.
     *
     * @param token the token that identifies the context
     * @param call the call
     * @param deadlineNanos the deadline of the call, on the local clock
     * @param link the link to the calling node
     * @return the context
     */
    public static CallContext of(String token, Message.Call call, long deadlineNanos, Supplier<Link> link) {
        return new CallContext(token, call, deadlineNanos, link);
    }

    /**
     * Returns the token.
     *
     * @return the token
     */
    public String token() {
        return token;
    }

    /**
     * Returns the id that all calls of the chain share.
     *
     * @return the request's id
     */
    public RequestId request() {
        return request;
    }

    /**
     * Returns the inherited importance.
     *
     * @return the importance
     */
    public Importance importance() {
        return importance;
    }

    /**
     * Returns the depth of the served call.
     *
     * @return the depth in the call chain, 0 for a request from a caller
     */
    public int depth() {
        return depth;
    }

    /**
     * Returns the deadline of the served call.
     *
     * @return the time on the local clock, in nanoseconds
     */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /**
     * Returns the retry budget that all nested calls share.
     *
     * @return the budget
     */
    public ParentBudget budget() {
        return budget;
    }

    /**
     * Returns whether a nested call has failed and won't be retried.
     *
     * @return whether one has
     */
    public boolean hasFailedChild() {
        return childFailed;
    }

    /**
     * Returns the services that the nested calls reached.
     *
     * @return their names
     */
    public Set<String> services() {
        return services;
    }

    @Override
    public void serviceReached(String service) {
        services.add(service);
    }

    @Override
    public void childFailed() {
        childFailed = true;
    }
}
