package org.verbenadyke.kernel.once;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import org.verbenadyke.kernel.call.CallId;

/**
 * Remembers the attempts that arrived or were sealed, so that each can start at most once. An id is kept for at least
 * one generation; after that, the fence on the call's age refuses any copy of it. An id that isn't known never arrived
 * only if it would have come within the memory.
 */
public final class SeenCalls {
    private final AtomicReference<Generations> generations;

    private SeenCalls(long nowNanos) {
        generations = new AtomicReference<>(
                new Generations(Generation.startingAt(nowNanos), Generation.startingAt(nowNanos)));
    }

    /**
     * Creates an empty memory.
     *
     * @param nowNanos the time from which on it remembers, on the local clock
     * @return the memory
     */
    public static SeenCalls startingAt(long nowNanos) {
        return new SeenCalls(nowNanos);
    }

    /**
     * Claims an id. Of all claims on one id within a generation, exactly one succeeds.
     *
     * @param id the attempt
     * @return whether it was not claimed before
     */
    public boolean claim(CallId id) {
        Generations g = generations.get();
        if (g.previous().knows(id) || !g.current().claim(id)) {
            return false;
        }
        // A generation that began meanwhile may hold another claim on the id; only one of the two gets the place there.
        for (Generations now = generations.get(); now != g; now = generations.get()) {
            if (!now.current().claim(id)) {
                return false;
            }
            g = now;
        }
        return true;
    }

    /**
     * Notes that an id was refused or sealed and never runs.
     *
     * @param id the attempt
     */
    public void markNeverRuns(CallId id) {
        generations.get().current().neverRuns(id);
    }

    /**
     * Tells whether an id is known to be one that never runs.
     *
     * @param id the attempt
     * @return whether it was refused or sealed
     */
    public boolean isNeverRun(CallId id) {
        Generations g = generations.get();
        return g.current().isNeverRun(id) || g.previous().isNeverRun(id);
    }

    /**
     * Tells whether every id that arrived since a time is still kept.
     *
     * @param nanos the time, on the local clock
     * @return whether an id that isn't known has not arrived since then
     */
    public boolean coversSince(long nanos) {
        return generations.get().previous().reachesBackTo(nanos);
    }

    /**
     * Starts a generation and forgets the one before the last; called by one thread at a time.
     *
     * @param clock reads the local clock, in nanoseconds; read when ids already go to the new generation
     */
    public void rotate(LongSupplier clock) {
        Generation fresh = new Generation();
        generations.set(new Generations(generations.get().current(), fresh));
        fresh.begin(clock.getAsLong());
    }

    /**
     * Returns the size.
     *
     * @return how many ids are kept
     */
    public int size() {
        Generations g = generations.get();
        return g.previous().size() + g.current().size();
    }

    /**
     * What is known of an id.
     */
    private enum Fate {
        /** It arrived. */
        CLAIMED,
        /** It was refused or sealed. */
        NEVER_RUNS
    }

    /**
     * The two generations that are kept.
     *
     * @param previous the older, which takes no claims
     * @param current the newer
     */
    private record Generations(Generation previous, Generation current) {}

    /**
     * The ids of one generation.
     */
    private static final class Generation {
        private final Map<CallId, Fate> ids = new ConcurrentHashMap<>();
        private volatile boolean begun;
        private volatile long sinceNanos;

        static Generation startingAt(long nanos) {
            Generation generation = new Generation();
            generation.begin(nanos);
            return generation;
        }

        void begin(long nanos) {
            sinceNanos = nanos;
            begun = true;
        }

        boolean reachesBackTo(long nanos) {
            return begun && nanos - sinceNanos >= 0;
        }

        boolean claim(CallId id) {
            return ids.putIfAbsent(id, Fate.CLAIMED) == null;
        }

        boolean knows(CallId id) {
            return ids.containsKey(id);
        }

        void neverRuns(CallId id) {
            ids.put(id, Fate.NEVER_RUNS);
        }

        boolean isNeverRun(CallId id) {
            return ids.get(id) == Fate.NEVER_RUNS;
        }

        int size() {
            return ids.size();
        }
    }
}
