package org.verbenadyke.kernel.route;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.verbenadyke.kernel.call.Importance;

/**
 * All routes, services and limits of one version. Immutable; published as a whole.
 */
public final class RoutePlan {
    private final long version;
    private final List<Route> routes;
    private final List<ServiceEntry> services;
    private final RequestLimits limits;
    private final RouteIndex index;
    private final Map<Integer, Importance> bands;

    private RoutePlan(long version, List<Route> routes, List<ServiceEntry> services, RequestLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.services = List.copyOf(services);
        this.limits = limits;
        this.index = RouteIndex.of(this.routes);
        this.bands = bands(this.routes);
    }

    /**
     * Creates a plan.
     *
     * @param version its version; a higher one replaces it
     * @param routes its routes
     * @param services its services
     * @param limits what callers may send
     * @return the plan, indexed for look-ups
     */
    public static RoutePlan of(long version, List<Route> routes, List<ServiceEntry> services, RequestLimits limits) {
        return new RoutePlan(version, routes, services, limits);
    }

    /**
     * Returns the version.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the routes.
     *
     * @return the routes
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Returns the services.
     *
     * @return the services
     */
    public List<ServiceEntry> services() {
        return services;
    }

    /**
     * Returns the limits on callers.
     *
     * @return the limits
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Returns how much the requests of a route matter. The least urgent priority of the plan is the lowest importance,
     * and so on upwards without gaps, so that shedding begins with requests that there are. The highest importance is
     * left for calls inside a chain.
     *
     * @param route a route of this plan
     * @return the importance
     */
    public Importance importance(Route route) {
        return bands.getOrDefault(route.priority(), Importance.HIGH);
    }

    private static Map<Integer, Importance> bands(List<Route> routes) {
        List<Integer> priorities = routes.stream()
                .map(Route::priority)
                .distinct()
                .sorted(Comparator.reverseOrder())
                .toList();
        Map<Integer, Importance> bands = new HashMap<>();
        for (int i = 0; i < priorities.size(); i++) {
            int band = Math.min(i, Importance.HIGH.ordinal());
            bands.put(priorities.get(i), Importance.values()[band]);
        }
        return Map.copyOf(bands);
    }

    /**
     * Finds the route of a request: of the host's routes, the one with the longest prefix of the path.
     *
     * @param host the host named by the request; a port is ignored
     * @param path the request's path, with or without a query
     * @return the route, if there is one
     */
    public Optional<Route> find(String host, String path) {
        return index.find(host, path);
    }
}
