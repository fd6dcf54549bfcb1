package org.verbenadyke.kernel.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Chooses the upstream of each call from an immutable table that is replaced as a whole when the membership changes.
 */
public final class Router {
    private static final double LEAST_FIT_SHARE = 0.5;
    private static final double WEIGHT_SAME_DATA_CENTRE = 4;
    private static final double WEIGHT_SAME_REGION = 1;
    private static final double WEIGHT_ELSEWHERE = 0.05;

    private final String self;
    private final Location place;
    private final int subsetSize;
    private final Chooser chooser;
    private final Supplier<RandomGenerator> random;
    private final boolean sheds;
    private final ServiceLevels levels = ServiceLevels.empty();
    private final AtomicReference<Map<String, Routes>> table = new AtomicReference<>(Map.of());

    private Router(
            String self,
            Location place,
            int subsetSize,
            Chooser chooser,
            Supplier<RandomGenerator> random,
            boolean sheds) {
        this.self = self;
        this.place = place;
        this.subsetSize = subsetSize;
        this.chooser = chooser;
        this.random = random;
        this.sheds = sheds;
    }

    /**
     * Creates a router that knows no upstreams.
     *
     * @param self the name of this node, by which its subset is drawn
     * @param place where this node stands
     * @param subsetSize how many upstreams of a service it uses at most
     * @param chooser how it chooses among fit candidates
     * @param random where each thread's randomness comes from
     * @param sheds whether calls are refused early by the reported admission levels, and failing upstreams ejected
     * @return the router
     */
    public static Router create(
            String self,
            Location place,
            int subsetSize,
            Chooser chooser,
            Supplier<RandomGenerator> random,
            boolean sheds) {
        return new Router(self, place, subsetSize, chooser, random, sheds);
    }

    /**
     * Replaces the upstreams. What was seen of those that stay is kept.
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
     * @return where it goes
     */
    public Choice route(RouteQuery query, long nowNanos) {
        Routes routes = table.get().get(query.service());
        if (routes == null) {
            return new Choice.NoCandidate();
        }
        if (!query.key().isEmpty()) {
            return toOwner(routes, query, nowNanos);
        }
        List<Candidate> accepting = accepting(routes.subset, query);
        if (accepting.isEmpty()) {
            accepting = accepting(List.copyOf(routes.all.values()), query);
        }
        if (accepting.isEmpty()) {
            return new Choice.NoCandidate();
        }
        if (!sheds) {
            return chosen(accepting);
        }
        return amongFit(fit(accepting, nowNanos), query, nowNanos);
    }

    /**
     * Returns what is known.
     *
     * @return every candidate
     */
    public List<Candidate> candidates() {
        return table.get().values().stream()
                .flatMap(r -> r.all.values().stream())
                .toList();
    }

    /**
     * Returns what was heard of the levels of services.
     *
     * @return the levels
     */
    public ServiceLevels levels() {
        return levels;
    }

    private Choice toOwner(Routes routes, RouteQuery query, long now) {
        List<String> ids = routes.all.values().stream()
                .filter(Candidate::accepting)
                .map(c -> c.upstream().id())
                .toList();
        Optional<Candidate> owner = Rendezvous.owner(ids, query.key()).map(routes.all::get);
        if (owner.isEmpty()) {
            return new Choice.NoCandidate();
        }
        int level = Math.max(owner.get().level(now), levels.below(query.service(), query.pathClass(), now));
        if (sheds && query.rank() < level) {
            return new Choice.Shed(level);
        }
        return new Choice.Selected(owner.get());
    }

    private Choice amongFit(List<Candidate> fit, RouteQuery query, long now) {
        int lowest = Integer.MAX_VALUE;
        int below = levels.below(query.service(), query.pathClass(), now);
        List<Candidate> open = new ArrayList<>(fit.size());
        for (Candidate c : fit) {
            int level = Math.max(c.level(now), below);
            lowest = Math.min(lowest, level);
            if (query.rank() >= level) {
                open.add(c);
            }
        }
        return open.isEmpty() ? new Choice.Shed(lowest) : chosen(open);
    }

    private Choice chosen(List<Candidate> candidates) {
        return chooser.choose(candidates, random.get())
                .<Choice>map(Choice.Selected::new)
                .orElseGet(Choice.NoCandidate::new);
    }

    private static List<Candidate> accepting(List<Candidate> candidates, RouteQuery query) {
        List<Candidate> accepting = new ArrayList<>(candidates.size());
        List<Candidate> fresh = new ArrayList<>(candidates.size());
        for (Candidate c : candidates) {
            if (!c.accepting()) {
                continue;
            }
            accepting.add(c);
            if (!query.avoid().contains(c.upstream().id())) {
                fresh.add(c);
            }
        }
        return fresh.isEmpty() ? accepting : fresh;
    }

    private static List<Candidate> fit(List<Candidate> accepting, long now) {
        List<Candidate> fit = new ArrayList<>(accepting.size());
        for (Candidate c : accepting) {
            c.fade(now);
            if (!c.ejected(now)) {
                fit.add(c);
            }
        }
        return fit.size() < accepting.size() * LEAST_FIT_SHARE ? accepting : fit;
    }

    private Routes routes(List<Upstream> upstreams, Routes before) {
        Map<String, Candidate> all = new TreeMap<>();
        for (Upstream u : upstreams) {
            Candidate known = before.all.get(u.id());
            all.put(
                    u.id(),
                    known != null && known.upstream().equals(u)
                            ? known
                            : Candidate.telling(u, u.location().equals(place), levels));
        }
        List<Candidate> subset = Rendezvous.subset(upstreams, self, this::weight, subsetSize).stream()
                .map(u -> all.get(u.id()))
                .toList();
        return new Routes(Collections.unmodifiableMap(all), subset);
    }

    private double weight(Upstream upstream) {
        if (upstream.location().equals(place)) {
            return WEIGHT_SAME_DATA_CENTRE;
        }
        return upstream.location().region().equals(place.region()) ? WEIGHT_SAME_REGION : WEIGHT_ELSEWHERE;
    }

    /**
     * The upstreams of one service.
     *
     * @param all every one, by id
     * @param subset those that calls go to
     */
    private record Routes(Map<String, Candidate> all, List<Candidate> subset) {
        private static final Routes NONE = new Routes(Map.of(), List.of());
    }
}
