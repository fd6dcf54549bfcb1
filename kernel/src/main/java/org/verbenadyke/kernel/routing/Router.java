package org.verbenadyke.kernel.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Chooses the upstream of each call from an immutable table that is replaced as a whole when the membership changes.
 */
public final class Router {
    private static final double MIN_FIT_SHARE = 0.5;
    private static final double WEIGHT_SAME_DATA_CENTRE = 4;
    private static final double WEIGHT_SAME_REGION = 1;
    private static final double WEIGHT_ELSEWHERE = 0.05;

    private final String self;
    private final Location location;
    private final int subsetSize;
    private final Chooser chooser;
    private final Supplier<RandomGenerator> random;
    private final boolean sheds;
    private final ServiceLevels levels = ServiceLevels.empty();
    private final StatedNotices stated = StatedNotices.empty();
    private final AtomicReference<Map<String, Routes>> table = new AtomicReference<>(Map.of());

    private Router(
            String self,
            Location location,
            int subsetSize,
            Chooser chooser,
            Supplier<RandomGenerator> random,
            boolean sheds) {
        this.self = self;
        this.location = location;
        this.subsetSize = subsetSize;
        this.chooser = chooser;
        this.random = random;
        this.sheds = sheds;
    }

    /**
     * Creates a router that knows no upstreams.
     *
     * @param self the name of this node, which determines its subset of the upstreams
     * @param location the location of this node
     * @param subsetSize the maximum number of upstreams used for a service
     * @param chooser chooses among the candidates that may take a call
     * @param random supplies each thread's random generator
     * @param sheds whether calls are refused early by the reported admission levels, and failing upstreams ejected
     * @return the router
     */
    public static Router create(
            String self,
            Location location,
            int subsetSize,
            Chooser chooser,
            Supplier<RandomGenerator> random,
            boolean sheds) {
        return new Router(self, location, subsetSize, chooser, random, sheds);
    }

    /**
     * Replaces the upstreams. Statistics of upstreams that stay are retained.
     *
     * @param upstreams all upstreams that may get new work
     */
    public void update(Collection<Upstream> upstreams) {
        Map<String, List<Upstream>> byService = upstreams.stream().collect(Collectors.groupingBy(Upstream::service));
        Map<String, Routes> before = table.get();
        Map<String, Routes> after = new HashMap<>();
        byService.forEach((service, list) -> after.put(
                service, routes(list, Optional.ofNullable(before.get(service)).orElse(Routes.NONE))));
        table.set(Map.copyOf(after));
    }

    /**
     * Routes a call.
     *
     * @param query the call
     * @param nowNanos the time
     * @return the chosen upstream, or the reason why there is none
     */
    public Choice route(RouteQuery query, long nowNanos) {
        Routes routes = table.get().get(query.service());
        if (routes == null) {
            return new Choice.NoCandidate();
        }
        if (!query.key().isEmpty()) {
            return routeToOwner(routes, query, nowNanos);
        }
        List<Candidate> accepting = accepting(routes.subset, query);
        if (accepting.isEmpty()) {
            accepting = accepting(List.copyOf(routes.all.values()), query);
        }
        if (accepting.isEmpty()) {
            return new Choice.NoCandidate();
        }
        if (!sheds) {
            return choose(accepting, query, nowNanos);
        }
        return routeAmongFit(fit(accepting, nowNanos), query, nowNanos);
    }

    /**
     * Returns whether a service has an upstream that accepts work and is not among some others.
     *
     * @param service the service
     * @param tried the ids of the others
     * @return whether there is one
     */
    public boolean hasOther(String service, Set<String> tried) {
        return Optional.ofNullable(table.get().get(service)).stream()
                .flatMap(r -> r.all.values().stream())
                .anyMatch(c -> c.accepting() && !tried.contains(c.upstream().id()));
    }

    /**
     * Chooses an upstream for a retry of a call that was lost at another one. Ejected upstreams, and those that would
     * refuse the call by their reported levels, are no choice: the call can also go back to where it was lost.
     *
     * @param query the call; an upstream to avoid is not chosen
     * @param nowNanos the time
     * @return the chosen upstream, empty if there is none
     */
    public Optional<Candidate> routeElsewhere(RouteQuery query, long nowNanos) {
        Routes routes = table.get().getOrDefault(query.service(), Routes.NONE);
        List<Candidate> others = elsewhere(routes.subset, query, nowNanos);
        if (others.isEmpty()) {
            others = elsewhere(routes.all.values(), query, nowNanos);
        }
        return chooser.choose(others, query, nowNanos, random.get());
    }

    /**
     * Returns all candidates.
     *
     * @return the candidates of all services
     */
    public List<Candidate> candidates() {
        return table.get().values().stream()
                .flatMap(r -> r.all.values().stream())
                .toList();
    }

    /**
     * Returns the admission levels of services that other nodes reported.
     *
     * @return the levels
     */
    public ServiceLevels levels() {
        return levels;
    }

    private Choice routeToOwner(Routes routes, RouteQuery query, long now) {
        List<String> ids = routes.all.values().stream()
                .filter(Candidate::accepting)
                .map(c -> c.upstream().id())
                .toList();
        Optional<Candidate> owner = Rendezvous.owner(ids, query.key()).map(routes.all::get);
        if (owner.isEmpty()) {
            return new Choice.NoCandidate();
        }
        int level = Math.max(owner.get().level(now), levels.deeperLevel(query.service(), query.pathClass(), now));
        if (sheds && query.rank() < level) {
            return new Choice.Shed(level);
        }
        return new Choice.Selected(owner.get());
    }

    private Choice routeAmongFit(List<Candidate> fit, RouteQuery query, long now) {
        int lowest = Integer.MAX_VALUE;
        int deeper = levels.deeperLevel(query.service(), query.pathClass(), now);
        List<Candidate> admitting = new ArrayList<>(fit.size());
        for (Candidate c : fit) {
            int level = Math.max(c.level(now), deeper);
            lowest = Math.min(lowest, level);
            if (query.rank() >= level) {
                admitting.add(c);
            }
        }
        return admitting.isEmpty() ? new Choice.Shed(lowest) : choose(admitting, query, now);
    }

    private Choice choose(List<Candidate> candidates, RouteQuery query, long now) {
        return chooser.choose(candidates, query, now, random.get())
                .<Choice>map(Choice.Selected::new)
                .orElseGet(Choice.NoCandidate::new);
    }

    private static List<Candidate> accepting(List<Candidate> candidates, RouteQuery query) {
        List<Candidate> accepting = new ArrayList<>(candidates.size());
        List<Candidate> untried = new ArrayList<>(candidates.size());
        for (Candidate c : candidates) {
            if (!c.accepting()) {
                continue;
            }
            accepting.add(c);
            if (!query.avoid().contains(c.upstream().id())) {
                untried.add(c);
            }
        }
        return untried.isEmpty() ? accepting : untried;
    }

    private static List<Candidate> fit(List<Candidate> accepting, long now) {
        List<Candidate> fit = new ArrayList<>(accepting.size());
        for (Candidate c : accepting) {
            c.decayShedRate(now);
            if (!c.ejected(now)) {
                fit.add(c);
            }
        }
        return fit.size() < accepting.size() * MIN_FIT_SHARE ? accepting : fit;
    }

    private List<Candidate> elsewhere(Collection<Candidate> candidates, RouteQuery query, long now) {
        int deeper = levels.deeperLevel(query.service(), query.pathClass(), now);
        return candidates.stream()
                .filter(c -> c.accepting() && !c.ejected(now))
                .filter(c -> !query.avoid().contains(c.upstream().id()))
                .filter(c -> query.rank() >= Math.max(c.level(now), deeper))
                .toList();
    }

    private Routes routes(List<Upstream> upstreams, Routes before) {
        Map<String, Candidate> all = new TreeMap<>();
        for (Upstream u : upstreams) {
            Candidate known = before.all.get(u.id());
            all.put(
                    u.id(),
                    known != null && known.upstream().equals(u)
                            ? known
                            : Candidate.sharing(u, u.location().equals(location), levels, stated));
        }
        List<Candidate> subset = Rendezvous.subset(upstreams, self, this::weight, subsetSize).stream()
                .map(u -> all.get(u.id()))
                .toList();
        return new Routes(Collections.unmodifiableMap(all), subset);
    }

    private double weight(Upstream upstream) {
        if (upstream.location().equals(location)) {
            return WEIGHT_SAME_DATA_CENTRE;
        }
        return upstream.location().region().equals(location.region()) ? WEIGHT_SAME_REGION : WEIGHT_ELSEWHERE;
    }

    /**
     * The upstreams of one service.
     *
     * @param all all upstreams by id
     * @param subset the upstreams that this node sends calls to
     */
    private record Routes(Map<String, Candidate> all, List<Candidate> subset) {
        private static final Routes NONE = new Routes(Map.of(), List.of());
    }
}
