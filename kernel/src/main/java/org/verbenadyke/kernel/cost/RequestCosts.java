package org.verbenadyke.kernel.cost;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenadyke.kernel.call.Importance;

/**
 * The slot time that requests take along their chains, learned from the answers to requests that entered at this node.
 * Held by kind of request, that is by service and class of paths. Thread-safe.
 */
public final class RequestCosts {
    /** The maximum number of kinds; a new one replaces the one whose last answer is the oldest. */
    static final int MAX_KINDS = 256;

    private final Map<Kind, LearnedCost> kinds = new ConcurrentHashMap<>();

    private RequestCosts() {}

    /**
     * Creates an instance that knows no costs.
     *
     * @return the costs
     */
    public static RequestCosts empty() {
        return new RequestCosts();
    }

    /**
     * Learns from an answered request. An empty usage says nothing and is ignored.
     *
     * @param service the service that the request was sent to
     * @param pathClass the class of its path
     * @param importance its importance
     * @param repeatable whether it may run more than once
     * @param usage the slot time that it took
     * @param nowNanos the time
     */
    public void record(
            String service, String pathClass, Importance importance, boolean repeatable, Usage usage, long nowNanos) {
        if (usage.isEmpty()) {
            return;
        }
        Kind kind = new Kind(service, pathClass);
        LearnedCost cost = kinds.get(kind);
        if (cost == null) {
            cost = add(kind, nowNanos);
        }
        cost.record(importance, repeatable, usage, nowNanos);
    }

    /**
     * Returns the slot time that a request takes at one service of its chain.
     *
     * @param service the service that the request is sent to
     * @param pathClass the class of its path
     * @param deepService the service asked about
     * @param nowNanos the time
     * @return the slot time in nanoseconds, 0 if the answers seen didn't use the service; empty if too few answers were
     *     seen or the last one is too old
     */
    public OptionalDouble slotNanos(String service, String pathClass, String deepService, long nowNanos) {
        LearnedCost cost = kinds.get(new Kind(service, pathClass));
        if (cost == null || !cost.known(nowNanos)) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(cost.slotNanos(deepService));
    }

    /**
     * Returns whether the cost of a kind is known and was confirmed lately, so that a part of its requests is enough to
     * follow it.
     *
     * @param service the service that the requests are sent to
     * @param pathClass the class of their paths
     * @param nowNanos the time
     * @return whether it is
     */
    public boolean fresh(String service, String pathClass, long nowNanos) {
        LearnedCost cost = kinds.get(new Kind(service, pathClass));
        return cost != null && cost.fresh(nowNanos);
    }

    /**
     * Returns the kinds of request of an importance that use a service, with their costs and rates. A kind with
     * repeatable and other requests is listed once for each.
     *
     * @param importance the importance
     * @param deepService the service
     * @param nowNanos the time
     * @return the kinds whose cost is known and is not 0, in no particular order
     */
    public List<KindCost> kindsUsing(Importance importance, String deepService, long nowNanos) {
        List<KindCost> using = new ArrayList<>();
        kinds.forEach((kind, cost) -> {
            double slotNanos = cost.slotNanos(deepService);
            if (slotNanos <= 0 || !cost.known(nowNanos)) {
                return;
            }
            for (boolean repeatable : new boolean[] {true, false}) {
                double rate = cost.requestsPerSecond(importance, repeatable, nowNanos);
                if (rate > 0) {
                    using.add(new KindCost(kind.service, kind.pathClass, repeatable, slotNanos, rate));
                }
            }
        });
        return using;
    }

    private synchronized LearnedCost add(Kind kind, long nowNanos) {
        if (kinds.size() >= MAX_KINDS && !kinds.containsKey(kind)) {
            kinds.entrySet().stream()
                    .max(Comparator.comparingLong(e -> nowNanos - e.getValue().lastNanos()))
                    .ifPresent(oldest -> kinds.remove(oldest.getKey()));
        }
        return kinds.computeIfAbsent(kind, k -> LearnedCost.startedAt(nowNanos));
    }

    /**
     * A kind of request.
     *
     * @param service the service that the requests are sent to
     * @param pathClass the class of their paths
     */
    private record Kind(String service, String pathClass) {
        // Written out: the record's own methods are generated at their first use, which slows the start of a process.
        @Override
        public boolean equals(Object other) {
            return other instanceof Kind o && service.equals(o.service) && pathClass.equals(o.pathClass);
        }

        @Override
        public int hashCode() {
            return 31 * service.hashCode() + pathClass.hashCode();
        }
    }
}
