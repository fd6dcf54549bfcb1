package org.verbenadyke.kernel.budget;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.verbenadyke.kernel.call.CallId;
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
    private final AtomicLong tickets = new AtomicLong();
    private final Map<Long, Consumer<Boolean>> pending = new ConcurrentHashMap<>();
    private volatile boolean closed;

    private ParentBudget(Supplier<Link> parent, CallId call) {
        this.parent = parent;
        this.call = call;
    }

    /**
     * Creates the budget of a received call.
     *
     * @param parent supplies the link to the calling node, which may change while the call runs
     * @param call the call
     * @return the budget
     */
    public static ParentBudget of(Supplier<Link> parent, CallId call) {
        return new ParentBudget(parent, call);
    }

    @Override
    public void spend(Consumer<Boolean> decision) {
        long ticket = tickets.incrementAndGet();
        pending.put(ticket, decision);
        send(ticket);
        if (closed) {
            decided(ticket, false);
        }
    }

    /** Sends all pending requests again, because the link on which they were sent is gone. */
    public void resendPending() {
        pending.keySet().forEach(this::send);
    }

    /**
     * Handles the reply to a request.
     *
     * @param ticket the id of the request
     * @param granted whether the retry may be made
     */
    public void decided(long ticket, boolean granted) {
        Consumer<Boolean> decision = pending.remove(ticket);
        if (decision != null) {
            decision.accept(granted);
        }
    }

    private void send(long ticket) {
        parent.get().send(new Message.Spend(call, ticket));
    }

    /** Denies every pending request and all later ones, because the call has ended at the calling node. */
    public void close() {
        closed = true;
        for (Long ticket : pending.keySet()) {
            decided(ticket, false);
        }
    }
}
