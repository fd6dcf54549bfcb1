package org.verbenadyke.kernel.budget;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;

/**
 * A retry budget whose count is held by the node where the request entered: each retry is requested from the calling
 * node over the link on which the call arrived. A request without a reply counts as denied; a retry granted in a reply
 * that is lost counts as spent.
 */
public final class ParentBudget implements RetryBudget {
    private final Supplier<Link> parent;
    private final CallId call;
    private final BooleanSupplier futile;
    private final AtomicLong tickets = new AtomicLong();
    private final Map<Long, Pending> pending = new ConcurrentHashMap<>();
    private volatile boolean closed;

    private ParentBudget(Supplier<Link> parent, CallId call, BooleanSupplier futile) {
        this.parent = parent;
        this.call = call;
        this.futile = futile;
    }

    /**
     * Creates the budget of a received call.
     *
     * @param parent supplies the link to the calling node, which may change while the call runs
     * @param call the call
     * @param futile returns whether the call fails whatever its nested calls return
     * @return the budget
     */
    public static ParentBudget of(Supplier<Link> parent, CallId call, BooleanSupplier futile) {
        return new ParentBudget(parent, call, futile);
    }

    @Override
    public void spend(CallCounts calls, Consumer<RetryDecision> callback) {
        if (futile.getAsBoolean()) {
            callback.accept(RetryDecision.DENIED_FUTILE);
            return;
        }
        long ticket = tickets.incrementAndGet();
        pending.put(ticket, new Pending(calls, callback));
        send(ticket, calls);
        if (closed) {
            decided(ticket, RetryDecision.DENIED_BUDGET);
        }
    }

    /** Sends all pending requests again, because the link on which they were sent is gone. */
    public void resendPending() {
        pending.forEach((ticket, p) -> send(ticket, p.calls()));
    }

    /**
     * Handles the reply to a request.
     *
     * @param ticket the id of the request
     * @param decision whether the retry may be made
     */
    public void decided(long ticket, RetryDecision decision) {
        Pending decided = pending.remove(ticket);
        if (decided != null) {
            decided.callback().accept(decision);
        }
    }

    private void send(long ticket, CallCounts calls) {
        parent.get().send(new Message.Spend(call, ticket, calls));
    }

    /** Denies every pending request and all later ones, because the call has ended at the calling node. */
    public void close() {
        closed = true;
        for (Long ticket : pending.keySet()) {
            decided(ticket, RetryDecision.DENIED_BUDGET);
        }
    }

    /**
     * A request without a reply.
     *
     * @param calls the calls that the retry would make
     * @param callback receives the decision
     */
    private record Pending(CallCounts calls, Consumer<RetryDecision> callback) {}
}
