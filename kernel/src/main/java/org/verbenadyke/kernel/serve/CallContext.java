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
 * What the calls of an upstream inherit from the call it serves. The upstream only knows the token.
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
     * @param token the token that names it
     * @param call the call
     * @param deadlineNanos when nobody waits for it any more, on the local clock
     * @param link the link to the node above
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
     * Returns the request of the chain.
     *
     * @return the request
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
     * @return how many calls lie above it
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
     * Returns the budget that all calls below draw on.
     *
     * @return the budget
     */
    public ParentBudget budget() {
        return budget;
    }

    /**
     * Tells whether a call below failed for good.
     *
     * @return whether one did
     */
    public boolean hasFailedChild() {
        return childFailed;
    }

    /**
     * Returns the services that the calls below led to.
     *
     * @return their names
     */
    public Set<String> services() {
        return services;
    }

    @Override
    public void leadsTo(String service) {
        services.add(service);
    }

    @Override
    public void childFailed() {
        childFailed = true;
    }
}
