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
 * Maps the priorities of a plan to importances. The team's priority decides first and the route's among equals; a
 * caller without a team, or whose team has no priority, comes after all teams that have one.
 *
 * <p>The least urgent pair that the plan allows is the lowest importance, and so on upwards without gaps, so that
 * shedding begins with requests that there are. The highest importance is left for calls inside a chain; where there
 * are more pairs than importances below it, the most urgent ones share the last of these.
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
     * What decides how much a request matters.
     *
     * @param team the priority of its caller's team, {@link #NONE} if there is none
     * @param route the priority of its route
     */
    private record Pair(int team, int route) {
        // Written out: derived ones are generated at their first use, which costs a process that starts much time.
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
