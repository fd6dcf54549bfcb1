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
    private final boolean on;
    private final Consumer<Breach> listener;
    private final AtomicReference<Generations> generations = new AtomicReference<>(Generations.empty());
    private final AtomicLong version = new AtomicLong(Long.MIN_VALUE);

    private Ledger(boolean on, Consumer<Breach> listener) {
        this.on = on;
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
        if (on) {
            track(request).note(t -> t.budget = retries, "minted " + retries);
        }
    }

    /**
     * Records a retry taken from a budget that was created on this node.
     *
     * @param request the request
     */
    public void spent(RequestId request) {
        if (!on) {
            return;
        }
        Track t = track(request);
        t.note(x -> x.spent++, "spent");
        if (t.budget >= 0 && t.spent > t.budget) {
            breach(Invariant.RETRIES_BOUNDED, request, t);
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
        if (on) {
            track(call).note(t -> t.request = request, "sent to " + service);
        }
    }

    /**
     * Records a complete answer to a caller of this node.
     *
     * @param request the request that was answered
     * @param call the attempt that the answer came from
     */
    public void answered(RequestId request, CallId call) {
        if (!on) {
            return;
        }
        Track t = track(call);
        t.note(x -> x.answers++, "answered");
        if (t.answers > 1 || t.request != null && !t.request.equals(request)) {
            breach(Invariant.ANSWER_MATCHED, call, t);
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
        if (!on) {
            return;
        }
        Track t = track(call);
        t.note(x -> x.handed++, "handed over");
        if (t.handed > 1) {
            breach(Invariant.AT_MOST_ONCE, call, t);
        }
        if (t.refusedNotRun) {
            breach(Invariant.NOT_RUN_IS_TRUE, call, t);
        }
        if (idempotent || key.isEmpty()) {
            return;
        }
        Track k = track(new Key(key));
        k.note(x -> x.handed++, "handed over as " + call);
        if (k.handed > 1) {
            breach(Invariant.AT_MOST_ONCE, "key " + key, k);
        }
    }

    /**
     * Records that a call recorded as handed over never reached the upstream, since no connection could be established.
     *
     * @param call the call
     */
    public void neverReached(CallId call) {
        if (on) {
            track(call).note(x -> x.handed--, "upstream not reached");
        }
    }

    /**
     * Records that the upstream reported a keyed call as not run, so that its key may be used again.
     *
     * @param key the key
     */
    public void keyFreed(String key) {
        if (on) {
            track(new Key(key)).note(x -> x.handed = 0, "not run by the upstream");
        }
    }

    /**
     * Records a refusal sent to the calling node.
     *
     * @param call the call
     * @param state the run state in the refusal
     */
    public void refusedCall(CallId call, RunState state) {
        if (!on || state != RunState.NOT_RUN) {
            return;
        }
        Track t = track(call);
        t.note(x -> x.refusedNotRun = true, "refused as not run");
        if (t.handed > 0) {
            breach(Invariant.NOT_RUN_IS_TRUE, call, t);
        }
    }

    /**
     * Records the hand-over of a call that arrived after the upstream had begun to drain.
     *
     * @param call the call
     */
    public void handedWhileDraining(CallId call) {
        if (on) {
            breach(Invariant.DRAINED_GETS_NOTHING, call, track(call));
        }
    }

    /**
     * Records a configuration that came into force.
     *
     * @param newVersion its version
     */
    public void applied(long newVersion) {
        if (!on) {
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

    private Track track(Object subject) {
        Generations g = generations.get();
        Track old = g.previous.get(subject);
        return old != null ? old : g.current.computeIfAbsent(subject, s -> new Track());
    }

    private void breach(Invariant promise, Object subject, Track track) {
        listener.accept(new Breach(promise, subject.toString(), track.history()));
    }

    /**
     * The two generations that are retained.
     *
     * @param previous the older one
     * @param current the newer one
     */
    private record Generations(Map<Object, Track> previous, Map<Object, Track> current) {
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
    private static final class Track {
        private static final int MAX_STEPS = 16;

        private final List<String> steps = new ArrayList<>(2);
        private volatile RequestId request;
        private volatile int budget = -1;
        private volatile int spent;
        private volatile int handed;
        private volatile int answers;
        private volatile boolean refusedNotRun;

        synchronized void note(Consumer<Track> change, String step) {
            change.accept(this);
            if (steps.size() < MAX_STEPS) {
                steps.add(step);
            }
        }

        synchronized String history() {
            return String.join(", ", steps);
        }
    }
}
