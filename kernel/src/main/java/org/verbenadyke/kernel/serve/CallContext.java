package org.verbenadyke.kernel.serve;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.verbenadyke.kernel.budget.ParentBudget;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.cost.Usage;
import org.verbenadyke.kernel.cost.UsageSum;
import org.verbenadyke.kernel.dispatch.ChainObserver;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.Repetition;

/**
 * The context that an upstream's nested calls inherit from the call it serves. The upstream sees only the token.
 */
public final class CallContext implements ChainObserver {
    private static final long NANOS_PER_MICRO = 1_000L;

    private final String token;
    private final RequestId request;
    private final Importance importance;
    private final int depth;
    private final CallTimes times;
    private final String service;
    private final boolean usageRequested;
    private final boolean repeated;
    private final ParentBudget budget;
    private final Set<String> services = ConcurrentHashMap.newKeySet();
    private volatile boolean childFailed;
    private volatile CallCounts calls = CallCounts.NONE;

    /** The slot time of the nested calls; empty until one reports any, as most calls have none. */
    private volatile Optional<UsageSum> nestedUsage = Optional.empty();

    private CallContext(String token, Message.Call call, CallTimes times, Supplier<Link> link) {
        this.token = token;
        this.request = call.request();
        this.importance = call.importance();
        this.depth = call.depth();
        this.times = times;
        this.service = call.target().service();
        this.usageRequested = call.usageRequested();
        this.repeated = call.repetition() != Repetition.NONE;
        this.budget = ParentBudget.of(link, call.id(), this::hasFailedChild);
    }

    /** Creates the context of a received call that is about to be handed over; the link leads to the calling node. */
    static CallContext of(String token, Message.Call call, CallTimes times, Supplier<Link> link) {
        return new CallContext(token, call, times, link);
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
        return times.deadline();
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

    /**
     * Returns the slot time of the served call and of the nested calls that have been answered; empty if not requested.
     */
    Usage usage() {
        if (!usageRequested) {
            return Usage.NONE;
        }
        long ownMicros = times.slotNanos() / NANOS_PER_MICRO;
        return nestedUsage.map(n -> n.totalWith(service, ownMicros)).orElseGet(() -> Usage.of(service, ownMicros));
    }

    /** Returns the calls that were made for the served call so far. */
    CallCounts calls() {
        return calls;
    }

    @Override
    public synchronized void called(String calledService, CallCounts nested) {
        calls = calls.plusOne(calledService).plus(nested);
    }

    @Override
    public void serviceReached(String service) {
        services.add(service);
    }

    @Override
    public void childFailed() {
        childFailed = true;
    }

    @Override
    public boolean repeated() {
        return repeated;
    }

    @Override
    public boolean collectsUsage() {
        return usageRequested;
    }

    @Override
    public void usageReported(Usage usage) {
        if (usageRequested && !usage.isEmpty()) {
            nestedSum().add(usage);
        }
    }

    private synchronized UsageSum nestedSum() {
        UsageSum sum = nestedUsage.orElseGet(UsageSum::empty);
        if (nestedUsage.isEmpty()) {
            nestedUsage = Optional.of(sum);
        }
        return sum;
    }
}
