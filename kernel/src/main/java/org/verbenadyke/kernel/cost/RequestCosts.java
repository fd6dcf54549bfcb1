package org.verbenadyke.kernel.cost;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.verbenadyke.kernel.call.Importance;

/**
 * The slot time that requests take along their chains, learned from the answers to requests that entered at this node.
 * Held by kind of request, that is by service and class of paths. Thread-safe.
 */
public final class RequestCosts {
    private final KindTable<LearnedCost> kinds = KindTable.empty();

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
        kinds.findOrAdd(service, pathClass, nowNanos, () -> LearnedCost.startedAt(nowNanos))
                .record(importance, repeatable, usage, nowNanos);
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
        Optional<LearnedCost> cost = kinds.find(service, pathClass).filter(c -> c.known(nowNanos));
        return cost.isEmpty()
                ? OptionalDouble.empty()
                : OptionalDouble.of(cost.get().slotNanos(deepService));
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
        return kinds.find(service, pathClass).filter(c -> c.fresh(nowNanos)).isPresent();
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
                    using.add(new KindCost(kind.service(), kind.pathClass(), repeatable, slotNanos, rate));
                }
            }
        });
        return using;
    }
}
