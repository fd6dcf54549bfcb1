package org.verbenadyke.kernel.once;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import org.verbenadyke.kernel.call.CallId;

/**
 * Records the ids of attempts that arrived or were sealed, so that each attempt starts at most once. An id is retained
 * for at least one generation; after that, the limit on the age of a call refuses any copy of it. An unknown id proves
 * that the attempt never arrived only if {@link #coversSince} covers the time at which it was sent.
 */
public final class SeenCalls {
    private final AtomicReference<Generations> generations;

    private SeenCalls(long nowNanos) {
        generations = new AtomicReference<>(
                new Generations(Generation.startingAt(nowNanos), Generation.startingAt(nowNanos)));
    }

    /**
     * Creates an empty record of ids.
     *
     * @param nowNanos the time from which ids are recorded, on the local clock
     * @return the record
     */
    public static SeenCalls startingAt(long nowNanos) {
        return new SeenCalls(nowNanos);
    }

    /**
     * Claims an id. Of all claims of the same id within a generation, exactly one succeeds.
     *
     * @param id the attempt
     * @return whether the id was not claimed before
     */
    public boolean claim(CallId id) {
        Generations g = generations.get();
        if (g.previous().contains(id) || !g.current().claim(id)) {
            return false;
        }
        // A generation that began concurrently may hold another claim of the id; only one of the two claims wins there.
        for (Generations now = generations.get(); now != g; now = generations.get()) {
            if (!now.current().claim(id)) {
                return false;
            }
            g = now;
        }
        return true;
    }

    /**
     * Records that an id was refused or sealed, so that its attempt never runs.
     *
     * @param id the attempt
     */
    public void markNeverRuns(CallId id) {
        generations.get().current().markNeverRuns(id);
    }

    /**
     * Returns whether an id is known to belong to an attempt that never runs.
     *
     * @param id the attempt
     * @return whether the id was refused or sealed
     */
    public boolean isNeverRun(CallId id) {
        Generations g = generations.get();
        return g.current().isNeverRun(id) || g.previous().isNeverRun(id);
    }

    /**
     * Returns whether every id that arrived since a time is still recorded.
     *
     * @param nanos the time, on the local clock
     * @return whether an unknown id cannot have arrived since then
     */
    public boolean coversSince(long nanos) {
        return generations.get().previous().coversSince(nanos);
    }

    /**
     * Starts a generation and discards the one before the last. Must be called by one thread at a time.
     *
     * @param clock reads the local clock, in nanoseconds; read only after the new generation has begun to record ids
     */
    public void rotate(LongSupplier clock) {
        Generation fresh = new Generation();
        generations.set(new Generations(generations.get().current(), fresh));
        fresh.begin(clock.getAsLong());
    }

    /**
     * Returns the number of recorded ids.
     *
     * @return the size
     */
    public int size() {
        Generations g = generations.get();
        return g.previous().size() + g.current().size();
    }

    /**
     * What is known about an id.
     */
    private enum IdStatus {
        /** It arrived. */
        CLAIMED,
        /** It was refused or sealed. */
        NEVER_RUNS
    }

    /**
     * The two generations that are retained.
     *
     * @param previous the older one, which accepts no claims
     * @param current the newer one
     */
    private record Generations(Generation previous, Generation current) {}

    /**
     * The ids of one generation.
     */
    private static final class Generation {
        private final Map<CallId, IdStatus> ids = new ConcurrentHashMap<>();
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

        boolean coversSince(long nanos) {
            return begun && nanos - sinceNanos >= 0;
        }

        boolean claim(CallId id) {
            return ids.putIfAbsent(id, IdStatus.CLAIMED) == null;
        }

        boolean contains(CallId id) {
            return ids.containsKey(id);
        }

        void markNeverRuns(CallId id) {
            ids.put(id, IdStatus.NEVER_RUNS);
        }

        boolean isNeverRun(CallId id) {
            return ids.get(id) == IdStatus.NEVER_RUNS;
        }

        int size() {
            return ids.size();
        }
    }
}
