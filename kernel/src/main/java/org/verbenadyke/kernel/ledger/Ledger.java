package org.verbenadyke.kernel.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RunState;

/**
 * Records which calls were handed over, refused and answered and which configurations were applied, and checks the
 * {@linkplain Invariant invariants} with each event. Events are retained for at least one generation. Thread-safe.
 */
public final class Ledger {
    private final boolean enabled;
    private final Consumer<Breach> listener;
    private final AtomicReference<Generations> generations = new AtomicReference<>(Generations.empty());
    private final AtomicLong version = new AtomicLong(Long.MIN_VALUE);

    private Ledger(boolean enabled, Consumer<Breach> listener) {
        this.enabled = enabled;
        this.listener = listener;
    }

    /**
     * Creates a ledger that records and checks nothing.
     *
     * @return the ledger
     */
    public static Ledger disabled() {
        return new Ledger(false, b -> {});
    }

    /**
     * Creates a ledger that checks the invariants.
     *
     * @param listener called with each breach
     * @return the ledger
     */
    public static Ledger reportingTo(Consumer<Breach> listener) {
        return new Ledger(true, listener);
    }

    /**
     * Records the creation of a retry budget.
     *
     * @param request the request
     * @param retries the number of retries in its budget
     */
    public void budgetCreated(RequestId request, int retries) {
        if (enabled) {
            historyOf(request).append(h -> h.budget = retries, "budget created: " + retries);
        }
    }

    /**
     * Records a retry taken from a budget that was created on this node.
     *
     * @param request the request
     */
    public void spent(RequestId request) {
        if (!enabled) {
            return;
        }
        History history = historyOf(request);
        history.append(h -> h.spent++, "spent");
        if (history.budget >= 0 && history.spent > history.budget) {
            breach(Invariant.RETRIES_BOUNDED, request, history);
        }
    }

    /**
     * Records that an attempt is sent.
     *
     * @param request the request
     * @param service the service called
     * @param call the attempt
     */
    public void attempted(RequestId request, String service, CallId call) {
        if (enabled) {
            historyOf(call).append(h -> h.request = request, "sent to " + service);
        }
    }

    /**
     * Records a complete answer to a caller of this node.
     *
     * @param request the request that was answered
     * @param call the attempt that the answer came from
     */
    public void answered(RequestId request, CallId call) {
        if (!enabled) {
            return;
        }
        History history = historyOf(call);
        history.append(h -> h.answers++, "answered");
        if (history.answers > 1 || history.request != null && !history.request.equals(request)) {
            breach(Invariant.ANSWER_MATCHED, call, history);
        }
    }

    /**
     * Records that a call is handed to the upstream.
     *
     * @param call the call
     * @param key its idempotency key, empty if none
     * @param idempotent whether it may run more than once
     */
    public void handedOver(CallId call, String key, boolean idempotent) {
        if (!enabled) {
            return;
        }
        History history = historyOf(call);
        history.append(h -> h.handOvers++, "handed over");
        if (history.handOvers > 1) {
            breach(Invariant.AT_MOST_ONCE, call, history);
        }
        if (history.refusedNotRun) {
            breach(Invariant.NOT_RUN_IS_TRUE, call, history);
        }
        if (idempotent || key.isEmpty()) {
            return;
        }
        History keyHistory = historyOf(new Key(key));
        keyHistory.append(h -> h.handOvers++, "handed over as " + call);
        if (keyHistory.handOvers > 1) {
            breach(Invariant.AT_MOST_ONCE, "key " + key, keyHistory);
        }
    }

    /**
     * Records that a call recorded as handed over never reached the upstream, since no connection could be established.
     *
     * @param call the call
     */
    public void neverReached(CallId call) {
        if (enabled) {
            historyOf(call).append(h -> h.handOvers--, "upstream not reached");
        }
    }

    /**
     * Records that the upstream reported a keyed call as not run, so that its key may be used again.
     *
     * @param key the key
     */
    public void keyFreed(String key) {
        if (enabled) {
            historyOf(new Key(key)).append(h -> h.handOvers = 0, "not run by the upstream");
        }
    }

    /**
     * Records a refusal sent to the calling node.
     *
     * @param call the call
     * @param state the run state in the refusal
     */
    public void refusedCall(CallId call, RunState state) {
        if (!enabled || state != RunState.NOT_RUN) {
            return;
        }
        History history = historyOf(call);
        history.append(h -> h.refusedNotRun = true, "refused as not run");
        if (history.handOvers > 0) {
            breach(Invariant.NOT_RUN_IS_TRUE, call, history);
        }
    }

    /**
     * Records the hand-over of a call that arrived after the upstream had begun to drain.
     *
     * @param call the call
     */
    public void handedWhileDraining(CallId call) {
        if (enabled) {
            breach(Invariant.DRAINED_GETS_NOTHING, call, historyOf(call));
        }
    }

    /**
     * Records a configuration that came into force.
     *
     * @param newVersion its version
     */
    public void applied(long newVersion) {
        if (!enabled) {
            return;
        }
        long before = version.getAndUpdate(v -> Math.max(v, newVersion));
        if (newVersion < before) {
            listener.accept(new Breach(Invariant.NEVER_REVERTS, "version " + newVersion, "after version " + before));
        }
    }

    /** Starts a generation and discards the one before the last. Must be called by one thread at a time. */
    public void rotate() {
        Generations g = generations.get();
        generations.set(new Generations(g.current, new ConcurrentHashMap<>()));
    }

    private History historyOf(Object subject) {
        Generations g = generations.get();
        History older = g.previous.get(subject);
        return older != null ? older : g.current.computeIfAbsent(subject, s -> new History());
    }

    private void breach(Invariant invariant, Object subject, History history) {
        listener.accept(new Breach(invariant, subject.toString(), history.text()));
    }

    /**
     * The two generations that are retained.
     *
     * @param previous the older one
     * @param current the newer one
     */
    private record Generations(Map<Object, History> previous, Map<Object, History> current) {
        static Generations empty() {
            return new Generations(new ConcurrentHashMap<>(), new ConcurrentHashMap<>());
        }
    }

    /**
     * An idempotency key as a subject.
     *
     * @param value the key
     */
    private record Key(String value) {}

    /**
     * The recorded events of one subject.
     */
    private static final class History {
        private static final int MAX_STEPS = 16;

        private final List<String> steps = new ArrayList<>(2);
        private volatile RequestId request;
        private volatile int budget = -1;
        private volatile int spent;
        private volatile int handOvers;
        private volatile int answers;
        private volatile boolean refusedNotRun;

        synchronized void append(Consumer<History> change, String step) {
            change.accept(this);
            if (steps.size() < MAX_STEPS) {
                steps.add(step);
            }
        }

        synchronized String text() {
            return String.join(", ", steps);
        }
    }
}
