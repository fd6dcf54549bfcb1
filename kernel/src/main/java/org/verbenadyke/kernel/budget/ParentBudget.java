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
 * A budget whose count is held further up: each retry is asked for over the link the call came by. A question that is
 * never answered counts as denied, and what was granted on a lost answer counts as spent.
 */
public final class ParentBudget implements RetryBudget {
    private final Supplier<Link> parent;
    private final CallId call;
    private final AtomicLong tickets = new AtomicLong();
    private final Map<Long, Consumer<Boolean>> open = new ConcurrentHashMap<>();
    private volatile boolean closed;

    private ParentBudget(Supplier<Link> parent, CallId call) {
        this.parent = parent;
        this.call = call;
    }

    /**
     * Creates the budget of a received call.
     *
     * @param parent the link to the node above, which may change while the call runs
     * @param call the call
     * @return the budget
     */
    public static ParentBudget of(Supplier<Link> parent, CallId call) {
        return new ParentBudget(parent, call);
    }

    @Override
    public void spend(Consumer<Boolean> decision) {
        long ticket = tickets.incrementAndGet();
        open.put(ticket, decision);
        ask(ticket);
        if (closed) {
            decided(ticket, false);
        }
    }

    /** Asks all open questions again, since the link that they went by is gone. */
    public void resendPending() {
        open.keySet().forEach(this::ask);
    }

    /**
     * Takes the answer to a question.
     *
     * @param ticket the question
     * @param granted whether the retry may be made
     */
    public void decided(long ticket, boolean granted) {
        Consumer<Boolean> decision = open.remove(ticket);
        if (decision != null) {
            decision.accept(granted);
        }
    }

    private void ask(long ticket) {
        parent.get().send(new Message.Spend(call, ticket));
    }

    /** Denies every open question and all later ones: the call above has ended. */
    public void close() {
        closed = true;
        for (Long ticket : open.keySet()) {
            decided(ticket, false);
        }
    }
}
