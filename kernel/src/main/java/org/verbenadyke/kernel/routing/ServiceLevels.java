package org.verbenadyke.kernel.routing;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenadyke.kernel.message.Message;

/**
 * The admission levels of services that a node learned from the answers it received: of the services it calls directly
 * and of those deeper in the call chain. Thread-safe.
 *
 * <p>Load pattern: many nodes, each sending few requests to many upstreams. If levels were stored by upstream and class
 * of call, a level would be outdated by the time the next such call is sent, and every upstream without a recent report
 * would look as if it refused nothing. Therefore levels are stored by the service whose upstreams set them, and each
 * node passes them on with their age. For a class of calls only the names of the services that it leads to are stored.
 */
public final class ServiceLevels {
    /** How long a level reported by one upstream is combined with those of the other upstreams of its service. */
    private static final long AGGREGATION_NANOS = 250_000_000L;

    private static final long MILLI = 1_000_000L;

    /** Maximum age that is reported; an older level no longer counts at all. */
    private static final long MAX_AGE_MILLIS = 60_000;

    private final Map<String, Map<String, ReportedLevel>> upstreams = new ConcurrentHashMap<>();
    private final Map<String, ReportedLevel> services = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> deeperServices = new ConcurrentHashMap<>();

    private ServiceLevels() {}

    /**
     * Creates an instance without any levels.
     *
     * @return the levels
     */
    public static ServiceLevels empty() {
        return new ServiceLevels();
    }

    /**
     * Handles the report that came with an answer of an upstream.
     *
     * @param upstream the upstream
     * @param pathClass the class of the answered call
     * @param report the report of the upstream's node
     * @param nowNanos the time
     */
    void received(Upstream upstream, String pathClass, Message.Report report, long nowNanos) {
        services.put(upstream.service(), lowestRecent(upstream, report.level(), nowNanos));
        Message.DeeperLevel deeper = report.deeperLevel();
        if (deeper.service().isEmpty()) {
            return;
        }
        deeperServices
                .computeIfAbsent(upstream.service() + " " + pathClass, p -> ConcurrentHashMap.newKeySet())
                .add(deeper.service());
        ReportedLevel seen = new ReportedLevel(deeper.level(), nowNanos - Math.max(0, deeper.ageMillis()) * MILLI);
        services.merge(deeper.service(), seen, ReportedLevel::newer);
    }

    /**
     * Returns the admission level of the services that a class of calls leads to behind a service.
     *
     * @param service the service called directly
     * @param pathClass the class of calls
     * @param nowNanos the time
     * @return the rank below which a call would be refused deeper in the call chain; 0 without a recent report
     */
    int deeperLevel(String service, String pathClass, long nowNanos) {
        int highest = 0;
        for (String s : deeperServices(service, pathClass)) {
            highest = Math.max(highest, level(s, nowNanos));
        }
        return highest;
    }

    /**
     * Returns the services that a class of calls leads to behind a service, as far as answers have named them.
     *
     * @param service the service called directly
     * @param pathClass the class of calls
     * @return their names
     */
    public Set<String> deeperServices(String service, String pathClass) {
        return Collections.unmodifiableSet(deeperServices.getOrDefault(service + " " + pathClass, Set.of()));
    }

    /**
     * Returns the admission level of a service.
     *
     * @param service the service
     * @param nowNanos the time
     * @return the rank below which it refuses calls; 0 without a recent report
     */
    public int level(String service, long nowNanos) {
        return services.getOrDefault(service, ReportedLevel.NONE).decayed(nowNanos);
    }

    /**
     * Returns the strictest level of the services that were called for an answer, to be sent with that answer.
     *
     * @param called the services that were called, and those that their answers named
     * @param nowNanos the time
     * @return the service with the highest level
     */
    public Message.DeeperLevel strictestLevel(Collection<String> called, long nowNanos) {
        Message.DeeperLevel strictest = Message.DeeperLevel.NONE;
        int highestLevel = -1;
        for (String service : called) {
            ReportedLevel seen = services.getOrDefault(service, ReportedLevel.NONE);
            int level = seen.decayed(nowNanos);
            if (level > highestLevel) {
                highestLevel = level;
                int ageMillis = (int) Math.min(MAX_AGE_MILLIS, (nowNanos - seen.atNanos()) / MILLI);
                strictest = new Message.DeeperLevel(service, seen.rank(), ageMillis);
            }
        }
        return strictest;
    }

    /**
     * Returns the lowest level among the upstreams of a service that reported recently, since an upstream with spare
     * capacity can take the calls that the others refuse.
     */
    private ReportedLevel lowestRecent(Upstream upstream, int level, long now) {
        Map<String, ReportedLevel> all = upstreams.computeIfAbsent(upstream.service(), s -> new ConcurrentHashMap<>());
        all.put(upstream.id(), new ReportedLevel(level, now));
        all.values().removeIf(s -> now - s.atNanos() > AGGREGATION_NANOS);
        int lowest = level;
        for (ReportedLevel s : all.values()) {
            lowest = Math.min(lowest, s.rank());
        }
        return new ReportedLevel(lowest, now);
    }
}
