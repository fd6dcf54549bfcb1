package org.verbenadyke.kernel.once;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.verbenadyke.kernel.call.CallId;

/**
 * Remembers the attempts that arrived or were sealed, so that each can start at most once. An id is kept for at least
 * one generation; after that, the fence on the call's age refuses any copy of it. An id that isn't known never arrived
 * only if it would have come within the memory.
 */
public final class SeenCalls {
    private final AtomicReference<Generations> generations;

    private SeenCalls(long nowNanos) {
        generations = new AtomicReference<>(Generations.startingAt(nowNanos));
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
        return !g.previous().containsKey(id) && g.current().putIfAbsent(id, Boolean.TRUE) == null;
    }

    /**
     * Tells whether every id that arrived since a time is still kept.
     *
     * @param nanos the time, on the local clock
     * @return whether an id that isn't known has not arrived since then
     */
    public boolean reachesBackTo(long nanos) {
        return nanos - generations.get().previousSince() >= 0;
    }

    /**
     * Starts a generation and forgets the one before the last; called by one thread at a time.
     *
     * @param nowNanos the time, on the local clock
     */
    public void rotate(long nowNanos) {
        Generations g = generations.get();
        generations.set(new Generations(g.current(), g.currentSince(), new ConcurrentHashMap<>(), nowNanos));
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
     * Two generations of ids.
     *
     * @param previous the older, only read
     * @param previousSince when the older began, in nanoseconds
     * @param current the newer
     * @param currentSince when the newer began, in nanoseconds
     */
    private record Generations(
            Map<CallId, Boolean> previous, long previousSince, Map<CallId, Boolean> current, long currentSince) {
        static Generations startingAt(long nanos) {
            return new Generations(new ConcurrentHashMap<>(), nanos, new ConcurrentHashMap<>(), nanos);
        }
    }
}
