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
 * Notes what was handed over, refused, answered and applied, and checks the promises as it goes. What it notes is kept
 * for at least one generation. Safe for many threads.
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
     * Creates a ledger that notes nothing.
     *
     * @return the ledger
     */
    public static Ledger disabled() {
        return new Ledger(false, b -> {});
    }

    /**
     * Creates a ledger.
     *
     * @param listener is told of each breach
     * @return the ledger
     */
    public static Ledger reportingTo(Consumer<Breach> listener) {
        return new Ledger(true, listener);
    }

    /**
     * Notes a minted budget.
     *
     * @param request the request
     * @param retries its budget
     */
    public void minted(RequestId request, int retries) {
        if (on) {
            track(request).note(t -> t.budget = retries, "minted " + retries);
        }
    }

    /**
     * Notes a retry taken out of a budget that was minted here.
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
            breach(Promise.RETRIES_BOUNDED, request, t);
        }
    }

    /**
     * Notes an attempt that is being sent.
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
     * Notes a whole answer given to the caller of this node.
     *
     * @param request the request it was given for
     * @param call the attempt it came from
     */
    public void answered(RequestId request, CallId call) {
        if (!on) {
            return;
        }
        Track t = track(call);
        t.note(x -> x.answers++, "answered");
        if (t.answers > 1 || t.request != null && !t.request.equals(request)) {
            breach(Promise.ANSWER_MATCHED, call, t);
        }
    }

    /**
     * Notes a call handed to the upstream.
     *
     * @param call the call
     * @param key its key, empty if none
     * @param idempotent whether it may run more than once
     */
    public void handedOver(CallId call, String key, boolean idempotent) {
        if (!on) {
            return;
        }
        Track t = track(call);
        t.note(x -> x.handed++, "handed over");
        if (t.handed > 1) {
            breach(Promise.AT_MOST_ONCE, call, t);
        }
        if (t.refusedNotRun) {
            breach(Promise.NOT_RUN_IS_TRUE, call, t);
        }
        if (idempotent || key.isEmpty()) {
            return;
        }
        Track k = track(new Key(key));
        k.note(x -> x.handed++, "handed over as " + call);
        if (k.handed > 1) {
            breach(Promise.AT_MOST_ONCE, "key " + key, k);
        }
    }

    /**
     * Notes that a call noted as handed over never reached the upstream, since no connection could be had.
     *
     * @param call the call
     */
    public void neverReached(CallId call) {
        if (on) {
            track(call).note(x -> x.handed--, "upstream not reached");
        }
    }

    /**
     * Notes that the upstream said it did not run a keyed call, so that the key is free again.
     *
     * @param key the key
     */
    public void keyFreed(String key) {
        if (on) {
            track(new Key(key)).note(x -> x.handed = 0, "not run by the upstream");
        }
    }

    /**
     * Notes a refusal sent to the node above.
     *
     * @param call the call
     * @param state what was said
     */
    public void refusedCall(CallId call, RunState state) {
        if (!on || state != RunState.NOT_RUN) {
            return;
        }
        Track t = track(call);
        t.note(x -> x.refusedNotRun = true, "refused as not run");
        if (t.handed > 0) {
            breach(Promise.NOT_RUN_IS_TRUE, call, t);
        }
    }

    /**
     * Notes a hand-over of a call that arrived after the upstream had begun to leave.
     *
     * @param call the call
     */
    public void handedWhileDraining(CallId call) {
        if (on) {
            breach(Promise.DRAINED_GETS_NOTHING, call, track(call));
        }
    }

    /**
     * Notes a configuration that came into force.
     *
     * @param newVersion its version
     */
    public void applied(long newVersion) {
        if (!on) {
            return;
        }
        long before = version.getAndUpdate(v -> Math.max(v, newVersion));
        if (newVersion < before) {
            listener.accept(new Breach(Promise.NEVER_REVERTS, "version " + newVersion, "after version " + before));
        }
    }

    /** Starts a generation and forgets the one before the last; called by one thread at a time. */
    public void rotate() {
        Generations g = generations.get();
        generations.set(new Generations(g.current, new ConcurrentHashMap<>()));
    }

    private Track track(Object subject) {
        Generations g = generations.get();
        Track old = g.previous.get(subject);
        return old != null ? old : g.current.computeIfAbsent(subject, s -> new Track());
    }

    private void breach(Promise promise, Object subject, Track track) {
        listener.accept(new Breach(promise, subject.toString(), track.history()));
    }

    /**
     * What is kept.
     *
     * @param previous the older generation
     * @param current the newer one
     */
    private record Generations(Map<Object, Track> previous, Map<Object, Track> current) {
        static Generations empty() {
            return new Generations(new ConcurrentHashMap<>(), new ConcurrentHashMap<>());
        }
    }

    /**
     * A key as a subject.
     *
     * @param value the key
     */
    private record Key(String value) {}

    /**
     * What was noted of one subject.
     */
    private static final class Track {
        private static final int STEPS_MOST = 16;

        private final List<String> steps = new ArrayList<>(2);
        private volatile RequestId request;
        private volatile int budget = -1;
        private volatile int spent;
        private volatile int handed;
        private volatile int answers;
        private volatile boolean refusedNotRun;

        synchronized void note(Consumer<Track> change, String step) {
            change.accept(this);
            if (steps.size() < STEPS_MOST) {
                steps.add(step);
            }
        }

        synchronized String history() {
            return String.join(", ", steps);
        }
    }
}
