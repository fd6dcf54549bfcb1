package org.verbenadyke.kernel.route;

import java.util.List;
import java.util.Optional;

/**
 * All routes, services and limits of one version. Immutable; published as a whole.
 */
public final class RoutePlan {
    private final long version;
    private final List<Route> routes;
    private final List<ServiceEntry> services;
    private final RequestLimits limits;
    private final RouteIndex index;

    private RoutePlan(long version, List<Route> routes, List<ServiceEntry> services, RequestLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.services = List.copyOf(services);
        this.limits = limits;
        this.index = RouteIndex.of(this.routes);
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
