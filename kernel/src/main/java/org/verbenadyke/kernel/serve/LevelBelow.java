package org.verbenadyke.kernel.serve;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;

/**
 * Learns which services the upstream beside the node calls, and how full they are. It serves chains whose upstreams
 * don't say for which request they call: what the services below report then counts for all that the upstream serves.
 */
public final class LevelBelow {
    /** How long a service counts as called, in nanoseconds: some times the longest pause between calls under load. */
    private static final long REMEMBERED_NANOS = 2_000_000_000L;

    /** How long a reading is used, in nanoseconds; each answer carries it, and it changes a few times a second. */
    private static final long CACHED_NANOS = 20_000_000L;

    private final ToIntFunction<String> levelOf;
    private final Map<String, Long> called = new ConcurrentHashMap<>();
    private volatile int cached;
    private volatile long readNanos = Long.MIN_VALUE;

    private LevelBelow(ToIntFunction<String> levelOf) {
        this.levelOf = levelOf;
    }

    /**
     * Creates one that has seen no call.
     *
     * @param levelOf tells the level that a service reports
     * @return the learner
     */
    public static LevelBelow of(ToIntFunction<String> levelOf) {
        return new LevelBelow(levelOf);
    }

    /**
     * Notes a call of the upstream beside the node.
     *
     * @param service the service called
     * @param nowNanos the time
     */
    public void called(String service, long nowNanos) {
        called.put(service, nowNanos);
    }

    /**
     * Returns the highest level of the services that were called lately.
     *
     * @param nowNanos the time
     * @return the rank below which calls are refused there, 0 if none
     */
    public int current(long nowNanos) {
        if (readNanos != Long.MIN_VALUE && nowNanos - readNanos < CACHED_NANOS) {
            return cached;
        }
        int highest = 0;
        for (Map.Entry<String, Long> e : called.entrySet()) {
            if (nowNanos - e.getValue() < REMEMBERED_NANOS) {
                highest = Math.max(highest, levelOf.applyAsInt(e.getKey()));
            }
        }
        cached = highest;
        readNanos = nowNanos;
        return highest;
    }
}
