package org.verbenadyke.kernel.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.team.TeamDirectory;
import org.verbenadyke.kernel.team.TeamEntry;

/**
 * Maps the priorities of a route plan to importances. Requests are ordered by the priority of the team and then by that
 * of the route. Callers without a team, or whose team has no priority, come after all teams that have one.
 *
 * <p>The least urgent pair of priorities in the plan gets the lowest importance, the next one the importance above it,
 * and so on without gaps, so that shedding begins with requests that exist. The highest importance is reserved for
 * nested calls; if there are more pairs than remaining importances, the most urgent pairs share the highest of these.
 */
final class PriorityBands {
    /** The priority of a caller whose team has none. */
    private static final int NONE = Integer.MAX_VALUE;

    private static final Comparator<Pair> LEAST_URGENT_FIRST =
            Comparator.comparingInt(Pair::team).thenComparingInt(Pair::route).reversed();

    private final Map<Pair, Importance> bands;

    private PriorityBands(Map<Pair, Importance> bands) {
        this.bands = bands;
    }

    static PriorityBands of(List<Route> routes, Optional<TeamDirectory> teams) {
        List<Pair> pairs = new ArrayList<>();
        List<Integer> ofTeams = teamPriorities(teams);
        List<Integer> ofRoutes = routes.stream().map(Route::priority).distinct().toList();
        ofTeams.forEach(t -> ofRoutes.forEach(r -> pairs.add(new Pair(t, r))));
        pairs.sort(LEAST_URGENT_FIRST);
        Map<Pair, Importance> bands = new HashMap<>();
        for (int i = 0; i < pairs.size(); i++) {
            int band = Math.min(i, Importance.HIGH.ordinal());
            bands.put(pairs.get(i), Importance.values()[band]);
        }
        return new PriorityBands(Map.copyOf(bands));
    }

    Importance importance(Route route, Optional<Team> team) {
        int ofTeam = team.map(Team::priority).orElse(OptionalInt.empty()).orElse(NONE);
        return bands.getOrDefault(new Pair(ofTeam, route.priority()), Importance.LOW);
    }

    private static List<Integer> teamPriorities(Optional<TeamDirectory> teams) {
        List<Integer> priorities = teams.stream()
                .flatMap(t -> t.entries().stream())
                .map(TeamEntry::team)
                .map(t -> t.priority().orElse(NONE))
                .distinct()
                .toList();
        return priorities.isEmpty() ? List.of(NONE) : priorities;
    }

    /**
     * The priorities that determine the importance of a request.
     *
     * @param team the priority of its caller's team, {@link #NONE} if there is none
     * @param route the priority of its route
     */
    private record Pair(int team, int route) {
        // Written out because the derived methods are generated at their first use, which slows down process startup.
        @Override
        public boolean equals(Object other) {
            return other instanceof Pair o && team == o.team && route == o.route;
        }

        @Override
        public int hashCode() {
            return 31 * team + route;
        }
    }
}
