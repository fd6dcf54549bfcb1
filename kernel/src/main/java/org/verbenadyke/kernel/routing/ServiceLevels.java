package org.verbenadyke.kernel.routing;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenadyke.kernel.message.Message;

/**
 * What a node knows of the admission levels of services, its own upstreams' and those further down, from every answer
 * that passes it. Safe for many threads.
 *
 * <p>Load pattern: many nodes, each with few requests of its own to many upstreams. What one upstream's answers tell of
 * one kind of request is then older than the load itself when the next such request comes, and every upstream not heard
 * of lately looks open. So levels are kept by the service whose upstreams set them, and whoever hears of it tells it on
 * with its age; for a kind of request only the names of the services that it leads to are kept.
 */
public final class ServiceLevels {
    /** How long an upstream's word on its own level counts beside those of the others of its service. */
    private static final long TOGETHER_NANOS = 250_000_000L;

    private static final long MILLI = 1_000_000L;

    /** The age from which on a word no longer counts at all. */
    private static final long AGE_MOST_MILLIS = 60_000;

    private final Map<String, Map<String, SeenLevel>> upstreams = new ConcurrentHashMap<>();
    private final Map<String, SeenLevel> services = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> below = new ConcurrentHashMap<>();

    private ServiceLevels() {}

    /**
     * Creates one that has heard nothing.
     *
     * @return the levels
     */
    public static ServiceLevels empty() {
        return new ServiceLevels();
    }

    /**
     * Takes an answer of an upstream.
     *
     * @param upstream the upstream
     * @param pathClass the class of the call that it answered
     * @param report what its node reports
     * @param nowNanos the time
     */
    void heard(Upstream upstream, String pathClass, Message.Report report, long nowNanos) {
        services.put(upstream.service(), lowest(upstream, report.level(), nowNanos));
        Message.DeeperLevel told = report.deeperLevel();
        if (told.service().isEmpty()) {
            return;
        }
        below.computeIfAbsent(upstream.service() + " " + pathClass, p -> ConcurrentHashMap.newKeySet())
                .add(told.service());
        SeenLevel seen = new SeenLevel(told.level(), nowNanos - Math.max(0, told.ageMillis()) * MILLI);
        services.merge(told.service(), seen, SeenLevel::newer);
    }

    /**
     * Returns the level below a service for a class of calls.
     *
     * @param service the service
     * @param pathClass the class
     * @param nowNanos the time
     * @return the rank below which a call would be refused further down; 0 when nothing was heard lately
     */
    int below(String service, String pathClass, long nowNanos) {
        int highest = 0;
        for (String s : below.getOrDefault(service + " " + pathClass, Set.of())) {
            highest = Math.max(highest, services.getOrDefault(s, SeenLevel.NONE).faded(nowNanos));
        }
        return highest;
    }

    /**
     * Words for an answer what is known of the services that were called for it.
     *
     * @param called the services, and those that their answers named
     * @param nowNanos the time
     * @return the one that refuses most
     */
    public Message.DeeperLevel strictestLevel(Collection<String> called, long nowNanos) {
        Message.DeeperLevel highest = Message.DeeperLevel.NONE;
        int most = -1;
        for (String service : called) {
            SeenLevel seen = services.getOrDefault(service, SeenLevel.NONE);
            int level = seen.faded(nowNanos);
            if (level > most) {
                most = level;
                int ageMillis = (int) Math.min(AGE_MOST_MILLIS, (nowNanos - seen.at()) / MILLI);
                highest = new Message.DeeperLevel(service, seen.rank(), ageMillis);
            }
        }
        return highest;
    }

    /**
     * Works out the lowest level among the upstreams of a service that were heard of lately, since one with room can
     * take what the others can't.
     */
    private SeenLevel lowest(Upstream upstream, int level, long now) {
        Map<String, SeenLevel> all = upstreams.computeIfAbsent(upstream.service(), s -> new ConcurrentHashMap<>());
        all.put(upstream.id(), new SeenLevel(level, now));
        all.values().removeIf(s -> now - s.at() > TOGETHER_NANOS);
        int lowest = level;
        for (SeenLevel s : all.values()) {
            lowest = Math.min(lowest, s.rank());
        }
        return new SeenLevel(lowest, now);
    }
}
