package org.verbenadyke.kernel.once;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.verbenadyke.kernel.call.CallId;

/**
 * Remembers the attempts that arrived or were sealed, so that each can start at most once. An id is kept for at least
 * one generation; after that, the fence on the call's age refuses any copy of it.
 */
public final class SeenCalls {
    private final AtomicReference<Generations> generations = new AtomicReference<>(Generations.empty());

    private SeenCalls() {}

    /**
     * Creates an empty memory.
     *
     * @return the memory
     */
    public static SeenCalls empty() {
        return new SeenCalls();
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

    /** Starts a generation and forgets the one before the last; called by one thread at a time. */
    public void rotate() {
        Generations g = generations.get();
        generations.set(new Generations(g.current(), new ConcurrentHashMap<>()));
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
     * @param current the newer
     */
    private record Generations(Map<CallId, Boolean> previous, Map<CallId, Boolean> current) {
        static Generations empty() {
            return new Generations(new ConcurrentHashMap<>(), new ConcurrentHashMap<>());
        }
    }
}
