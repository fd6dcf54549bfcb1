package org.verbenadyke.kernel.route;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.team.TeamEntry;

/**
 * Raises a share of the requests of non-repeatable routes that rank below repeatable ones to the importance of those.
 * Thread-safe.
 *
 * <p>Load pattern: lasting overload of a deeper service, in which strict priorities would refuse all writes of the
 * lower importance before any read of the higher one. A refused read can be retried later, but a write that is refused
 * again and again is lost. The share follows from the slot time that a write and a read take at the bottleneck, the
 * deeper service with the highest level: a write that takes half as much as a read or less is refused no more often
 * than the read.
 */
public final class GuaranteedShares {
    /**
     * The lowest share: no kind of request may be served less than a quarter as often as all requests are. More than a
     * quarter, since a raised write with long chains fails more often in its nested calls while the level still rises.
     */
    public static final double MIN_SHARE = 0.4;

    /** The gauge's value if no requests arrived lately that a share of is raised. */
    public static final double NO_SHARE = -1;

    /** The weight of one step of importance: a write at full share takes at most half the slot time of a read. */
    private static final double STEP_WEIGHT = 2;

    /** Makes the selection of raised requests independent of ranks and of other selections by a request's id. */
    private static final long RAISED_SALT = 0x632be59bd9b4e019L;

    /** How often the shares are computed: once per period in which levels change. */
    private static final long REFRESH_NANOS = 300_000_000L;

    /** A share that changes by less is not reported, since slot times vary from answer to answer. */
    private static final double REPORTED_CHANGE = 0.1;

    private final RoutePlan plan;
    private final Optional<Learned> learned;
    private final Map<KindKey, Kind> kinds;

    /** The raised kinds, the most important ones first, and the kinds that the share of each is measured against. */
    private final Map<Kind, List<Kind>> measuredAgainst;

    /** The raised kinds and those that their shares are measured against. */
    private final Set<Kind> costed;

    private final AtomicLong refreshedNanos = new AtomicLong();

    private GuaranteedShares(RoutePlan plan, Optional<Learned> learned) {
        this.plan = plan;
        this.learned = learned;
        this.kinds = takesEffect(plan) ? kinds(plan) : Map.of();
        this.measuredAgainst = measuredAgainst(kinds.values());
        this.costed = measuredAgainst.entrySet().stream()
                .flatMap(e -> Stream.concat(Stream.of(e.getKey()), e.getValue().stream()))
                .collect(Collectors.toUnmodifiableSet());
        learned.ifPresent(l -> refreshedNanos.set(l.startNanos));
    }

    /**
     * Creates the shares of a plan, which are the lowest share as long as no costs are known.
     *
     * @param plan the plan
     * @return the shares
     */
    public static GuaranteedShares of(RoutePlan plan) {
        return new GuaranteedShares(plan, Optional.empty());
    }

    /**
     * Returns the shares of the same plan that follow the costs of requests.
     *
     * @param services knows the services behind the entry, their levels and the slot time of requests there
     * @param changes receives the shares that have changed notably
     * @param nowNanos the time
     * @return the shares
     */
    public GuaranteedShares following(DeeperServices services, Consumer<ShareChange> changes, long nowNanos) {
        return new GuaranteedShares(plan, Optional.of(new Learned(services, changes, nowNanos)));
    }

    /**
     * Returns whether the plan ranks a non-repeatable route below a repeatable one. If not, no request is raised and
     * the costs of requests are not needed.
     *
     * @param plan the plan
     * @return whether shares are guaranteed
     */
    public static boolean takesEffect(RoutePlan plan) {
        return plan.routes().stream().anyMatch(r -> !repeatableAbove(plan, r).isEmpty());
    }

    /**
     * Returns the plan that the shares are of.
     *
     * @return the plan
     */
    public RoutePlan plan() {
        return plan;
    }

    /**
     * Counts a request that enters at this node; the request rates weight the costs of the kinds of request.
     *
     * @param route a route of the plan
     * @param team the caller's team, if it is known
     * @param requests its class of requests
     */
    public void arrived(Route route, Optional<Team> team, RequestClass requests) {
        kind(route, team).ifPresent(k -> k.traffic.arrived(requests));
    }

    /**
     * Returns whether a share depends on the slot time of a request.
     *
     * @param route a route of the plan
     * @param team the caller's team, if it is known
     * @return whether such requests are raised, or shares are measured against them
     */
    public boolean needsCost(Route route, Optional<Team> team) {
        return kind(route, team).filter(costed::contains).isPresent();
    }

    /**
     * Returns the importance of a request that enters at this node. The same request gets the same importance as long
     * as the share is the same.
     *
     * @param route the request's route; its requests are raised only if it is a route of the plan
     * @param team the caller's team, if it is known
     * @param own the importance that the request has unless it is raised
     * @param request the request's id, which selects the requests that are raised
     * @param nowNanos the time
     * @return the importance, never below its own
     */
    public Importance importance(Route route, Optional<Team> team, Importance own, RequestId request, long nowNanos) {
        learned.ifPresent(l -> refreshIfDue(l, nowNanos));
        return kind(route, team)
                .filter(k -> request.sample(RAISED_SALT) < k.share)
                .flatMap(k -> k.raisedTo)
                .filter(raisedTo -> raisedTo.compareTo(own) > 0)
                .orElse(own);
    }

    /**
     * Returns the lowest share among the kinds of requests that are raised and of which some arrived lately.
     *
     * @return the share, {@link #NO_SHARE} if there are no such kinds
     */
    public double lowestShare() {
        return raisedWithTraffic().mapToDouble(k -> k.share).min().orElse(NO_SHARE);
    }

    /**
     * Returns the share of a route whose slot times at the bottleneck are known.
     *
     * @param costAbove the mean slot time of the requests that the share is measured against
     * @param costOwn the slot time of a request of the route
     * @return the share that is raised, from {@link #MIN_SHARE} to 1
     */
    static double share(double costAbove, double costOwn) {
        return Math.max(MIN_SHARE, Math.min(1, costAbove / (STEP_WEIGHT * costOwn)));
    }

    private Optional<Kind> kind(Route route, Optional<Team> team) {
        return kinds.isEmpty()
                ? Optional.empty()
                : Optional.ofNullable(kinds.get(KindKey.of(route, team))).filter(k -> k.route.equals(route));
    }

    private void refreshIfDue(Learned with, long nowNanos) {
        long before = refreshedNanos.get();
        boolean due = nowNanos - before >= REFRESH_NANOS && !kinds.isEmpty();
        if (!due || !refreshedNanos.compareAndSet(before, nowNanos)) {
            return;
        }
        kinds.values().forEach(k -> k.traffic.endPeriod(nowNanos - before));
        BottleneckCosts costs = new BottleneckCosts(with.services, nowNanos);
        // The most important kinds come first, since their shares limit those of the others.
        raisedWithTraffic()
                .forEach(k -> k.update(costs.basis(k.traffic, trafficAbove(k)), largestShare(k), with.changes));
    }

    /** Returns the raised kinds of which requests arrived lately: few, also if the plan has a thousand routes. */
    private Stream<Kind> raisedWithTraffic() {
        return measuredAgainst.keySet().stream().filter(k -> k.traffic.active());
    }

    /**
     * Returns the largest share of a kind: the smallest one of the more important raised kinds. A more important kind
     * would otherwise be served less often than a less important one that takes less slot time.
     */
    private double largestShare(Kind kind) {
        return raisedWithTraffic()
                .filter(k -> k.importance.compareTo(kind.importance) > 0)
                .filter(k -> k.key.teamPriority.equals(kind.key.teamPriority))
                .mapToDouble(k -> k.share)
                .min()
                .orElse(1);
    }

    private List<KindTraffic> trafficAbove(Kind kind) {
        return measuredAgainst.get(kind).stream()
                .map(k -> k.traffic)
                .filter(KindTraffic::active)
                .toList();
    }

    private static Map<Kind, List<Kind>> measuredAgainst(Collection<Kind> kinds) {
        Map<Kind, List<Kind>> measured = new LinkedHashMap<>();
        kinds.stream()
                .filter(k -> k.raisedTo.isPresent())
                .sorted(Comparator.comparing((Kind k) -> k.importance).reversed())
                .forEach(k -> measured.put(k, readsOf(kinds, k.raisedTo.get())));
        return measured;
    }

    private static List<Kind> readsOf(Collection<Kind> kinds, Importance importance) {
        return kinds.stream()
                .filter(k -> k.route.kind().repeatable() && k.importance == importance)
                .toList();
    }

    private static Map<KindKey, Kind> kinds(RoutePlan plan) {
        Map<KindKey, Kind> kinds = new HashMap<>();
        for (Route route : plan.routes()) {
            callers(plan).forEach(team -> kinds.computeIfAbsent(KindKey.of(route, team), k -> kind(plan, route, team)));
        }
        return Map.copyOf(kinds);
    }

    private static Kind kind(RoutePlan plan, Route route, Optional<Team> team) {
        Importance importance = plan.importance(route, team);
        Optional<Importance> raisedTo = repeatableAbove(plan, route).stream()
                .map(r -> plan.importance(r, team))
                .filter(i -> i.compareTo(importance) > 0)
                .min(Importance::compareTo);
        return new Kind(KindKey.of(route, team), route, importance, raisedTo);
    }

    /** Returns the repeatable routes that rank above a route that is not; none for a repeatable route. */
    private static List<Route> repeatableAbove(RoutePlan plan, Route route) {
        if (route.kind().repeatable()) {
            return List.of();
        }
        return plan.routes().stream()
                .filter(r -> r.kind().repeatable() && r.priority() < route.priority())
                .toList();
    }

    /** Returns a caller without a team, and one of each priority that teams have. */
    private static Stream<Optional<Team>> callers(RoutePlan plan) {
        Map<OptionalInt, Team> teams = new HashMap<>();
        plan.teams().stream()
                .flatMap(t -> t.entries().stream())
                .map(TeamEntry::team)
                .forEach(t -> teams.putIfAbsent(t.priority(), t));
        return Stream.concat(
                Stream.of(Optional.empty()), teams.values().stream().map(Optional::of));
    }

    /**
     * What the shares are computed from.
     *
     * @param services knows the services behind the entry
     * @param changes receives the shares that have changed notably
     * @param startNanos when the request rates began to be measured
     */
    private record Learned(DeeperServices services, Consumer<ShareChange> changes, long startNanos) {}

    /**
     * The requests of a route whose callers have the same priority.
     *
     * @param route the name of the route
     * @param teamPriority the priority of the callers' teams, empty if they have none
     */
    private record KindKey(String route, OptionalInt teamPriority) {
        private static KindKey of(Route route, Optional<Team> team) {
            return new KindKey(route.name(), team.map(Team::priority).orElse(OptionalInt.empty()));
        }

        // Written out because the derived methods are generated at their first use, which slows down process startup.
        @Override
        public boolean equals(Object other) {
            return other instanceof KindKey o && route.equals(o.route) && teamPriority.equals(o.teamPriority);
        }

        @Override
        public int hashCode() {
            return 31 * route.hashCode() + teamPriority.hashCode();
        }
    }

    /** The traffic and the share of one kind of request. */
    private static final class Kind {
        private final KindKey key;
        private final Route route;
        private final Importance importance;
        private final Optional<Importance> raisedTo;
        private final KindTraffic traffic = KindTraffic.none();
        private volatile double share = MIN_SHARE;
        private double reportedShare = MIN_SHARE;

        private Kind(KindKey key, Route route, Importance importance, Optional<Importance> raisedTo) {
            this.key = key;
            this.route = route;
            this.importance = importance;
            this.raisedTo = raisedTo;
        }

        private void update(ShareChange.Basis basis, double largest, Consumer<ShareChange> changes) {
            double byCost = basis.known() ? share(basis.aboveNanos(), basis.ownNanos()) : MIN_SHARE;
            share = Math.min(byCost, largest);
            if (Math.abs(share - reportedShare) > REPORTED_CHANGE) {
                changes.accept(new ShareChange(
                        route.name(), key.teamPriority, raisedTo.orElse(importance), reportedShare, share, basis));
                reportedShare = share;
            }
        }
    }
}
