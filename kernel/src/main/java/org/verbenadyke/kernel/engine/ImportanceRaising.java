package org.verbenadyke.kernel.engine;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.cost.RequestCosts;
import org.verbenadyke.kernel.dispatch.CallHandle;
import org.verbenadyke.kernel.dispatch.Dispatcher;
import org.verbenadyke.kernel.dispatch.Request;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.route.DeeperServices;
import org.verbenadyke.kernel.route.GuaranteedShares;
import org.verbenadyke.kernel.route.RequestClass;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.route.ShareChange;
import org.verbenadyke.kernel.routing.ServiceLevels;
import org.verbenadyke.kernel.trace.Decision;

/**
 * Applies the guaranteed shares of the route plan in force to the requests that enter at this node, and learns the
 * costs that the shares follow. Thread-safe.
 */
final class ImportanceRaising {
    /** The part of the requests of a kind whose usage is requested while its cost is known and fresh. */
    private static final double SAMPLED_PART = 0.25;

    /** Makes the selection of requests whose usage is requested independent of other selections by a request's id. */
    private static final long USAGE_SALT = 0x4cf5ad432745937fL;

    private final EngineParts parts;
    private final RequestCosts costs = RequestCosts.empty();
    private final DeeperServices services;
    private final AtomicReference<Current> current = new AtomicReference<>();

    private ImportanceRaising(EngineParts parts, ServiceLevels levels) {
        this.parts = parts;
        this.services = new LearnedServices(levels, costs);
    }

    static ImportanceRaising of(EngineParts parts, ServiceLevels levels) {
        return new ImportanceRaising(parts, levels);
    }

    /** Returns whether the plan in force guarantees shares. */
    boolean takesEffect() {
        return shares().isPresent();
    }

    /** Returns the importance of a request that begins a call chain. */
    Importance importance(RoutedRequest routed, RequestId id, long nowNanos) {
        Optional<GuaranteedShares> shares = shares();
        if (shares.isEmpty()) {
            return routed.importance();
        }
        RequestClass requests = new RequestClass(routed.service(), Request.pathClass(routed.content()));
        shares.get().arrived(routed.route(), routed.team(), requests);
        Importance importance =
                shares.get().importance(routed.route(), routed.team(), routed.importance(), id, nowNanos);
        if (importance.compareTo(routed.importance()) > 0) {
            parts.counters().count(Event.IMPORTANCE_RAISED);
        }
        return importance;
    }

    /** Dispatches a request, and learns its cost if it begins a call chain and the plan or the request needs that. */
    CallHandle dispatch(Dispatcher dispatcher, RoutedRequest routed, Request request, AnswerSink sink) {
        if (!learns(routed, request.id())) {
            return dispatcher.dispatch(request, sink);
        }
        EntryCost cost = EntryCost.of(request, costs, parts.timers(), sink);
        return dispatcher.dispatch(request.observedBy(cost), cost);
    }

    /** Returns whether the cost of a request is learned. */
    boolean learns(RoutedRequest routed, RequestId id) {
        return routed.parent().isEmpty() && (routed.usageRequested() || needsCost(routed, id));
    }

    private boolean needsCost(RoutedRequest routed, RequestId id) {
        Optional<GuaranteedShares> shares = shares();
        if (shares.isEmpty() || !shares.get().needsCost(routed.route(), routed.team())) {
            return false;
        }
        String pathClass = Request.pathClass(routed.content());
        return id.sample(USAGE_SALT) < SAMPLED_PART
                || !costs.fresh(routed.service(), pathClass, parts.timers().nanos());
    }

    /** Returns what is known about the slot time of requests that entered at this node. */
    RequestCosts costs() {
        return costs;
    }

    double lowestShare() {
        return shares().map(GuaranteedShares::lowestShare).orElse(GuaranteedShares.NO_SHARE);
    }

    private Optional<GuaranteedShares> shares() {
        Optional<RoutePlan> plan = parts.plan().get();
        if (plan.isEmpty()) {
            return Optional.empty();
        }
        Current before = current.get();
        if (before != null && before.plan == plan.get()) {
            return before.shares;
        }
        // The plan may have changed since this thread read it.
        if (before != null && before.plan.version() > plan.get().version()) {
            return before.shares;
        }
        Current next = new Current(plan.get(), sharesOf(plan.get()));
        return current.compareAndSet(before, next) ? next.shares : current.get().shares;
    }

    private Optional<GuaranteedShares> sharesOf(RoutePlan plan) {
        return Optional.of(plan)
                .filter(GuaranteedShares::takesEffect)
                .map(p -> GuaranteedShares.of(p)
                        .following(services, this::noteChange, parts.timers().nanos()));
    }

    private void noteChange(ShareChange change) {
        parts.decisions().note(new Decision.ShareChanged(change));
    }

    /**
     * The shares of one plan.
     *
     * @param plan the plan
     * @param shares its shares, empty if it guarantees none
     */
    private record Current(RoutePlan plan, Optional<GuaranteedShares> shares) {}

    /**
     * What this node has learned from answers.
     *
     * @param levels the admission levels of services
     * @param costs the slot times of requests
     */
    private record LearnedServices(ServiceLevels levels, RequestCosts costs) implements DeeperServices {
        @Override
        public Set<String> reachedBy(RequestClass requests) {
            return levels.deeperServices(requests.service(), requests.pathClass());
        }

        @Override
        public int level(String service, long nowNanos) {
            return levels.level(service, nowNanos);
        }

        @Override
        public OptionalDouble slotNanos(RequestClass requests, String service, long nowNanos) {
            return costs.slotNanos(requests.service(), requests.pathClass(), service, nowNanos);
        }
    }
}
