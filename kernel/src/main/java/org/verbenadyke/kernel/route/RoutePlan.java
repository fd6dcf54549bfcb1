package org.verbenadyke.kernel.route;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.team.TeamDirectory;

/**
 * The routes, services, limits and teams of one version. Immutable, and replaced as a whole.
 */
public final class RoutePlan {
    private final long version;
    private final List<Route> routes;
    private final List<ServiceEntry> services;
    private final RequestLimits limits;
    private final Optional<TeamDirectory> teams;
    private final RouteIndex index;
    private final PriorityBands bands;
    private final OptionalLong tightestUploadTargetNanos;

    private RoutePlan(
            long version,
            List<Route> routes,
            List<ServiceEntry> services,
            RequestLimits limits,
            Optional<TeamDirectory> teams) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.services = List.copyOf(services);
        this.limits = limits;
        this.teams = teams;
        this.index = RouteIndex.of(this.routes);
        this.bands = PriorityBands.of(this.routes, teams);
        this.tightestUploadTargetNanos = this.routes.stream()
                .filter(r -> r.kind() == RequestKind.UPLOAD)
                .mapToLong(Route::targetNanos)
                .filter(t -> t > 0)
                .min();
    }

    /**
     * Creates a plan that serves callers without authentication.
     *
     * @param version its version; a plan with a higher version replaces it
     * @param routes its routes
     * @param services its services
     * @param limits the limits on requests
     * @return the plan, indexed for look-ups
     */
    public static RoutePlan of(long version, List<Route> routes, List<ServiceEntry> services, RequestLimits limits) {
        return new RoutePlan(version, routes, services, limits, Optional.empty());
    }

    /**
     * Returns a copy of the plan that authenticates callers by team.
     *
     * @param directory the teams
     * @return the plan
     */
    public RoutePlan servingTeams(TeamDirectory directory) {
        return new RoutePlan(version, routes, services, limits, Optional.of(directory));
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
     * Returns the limits on requests.
     *
     * @return the limits
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Returns the teams whose callers are served.
     *
     * @return the teams, empty if callers are not authenticated
     */
    public Optional<TeamDirectory> teams() {
        return teams;
    }

    /**
     * Returns the tightest target latency of the routes of kind {@link RequestKind#UPLOAD}.
     *
     * @return the target latency in nanoseconds, empty if no such route has a positive one
     */
    public OptionalLong tightestUploadTargetNanos() {
        return tightestUploadTargetNanos;
    }

    /**
     * Returns the importance of the requests of a route.
     *
     * @param route a route of this plan
     * @param team the caller's team, if it is known
     * @return the importance
     */
    public Importance importance(Route route, Optional<Team> team) {
        return bands.importance(route, team);
    }

    /**
     * Finds the route of a request: among the routes of the host, the one with the longest matching path prefix.
     *
     * @param host the host named by the request; a port is ignored
     * @param path the request's path, with or without a query
     * @return the route, empty if none matches
     */
    public Optional<Route> find(String host, String path) {
        return index.find(host, path);
    }
}
