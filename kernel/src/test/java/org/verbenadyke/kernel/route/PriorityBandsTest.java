package org.verbenadyke.kernel.route;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.team.TeamDirectory;
import org.verbenadyke.kernel.team.TeamEntry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the importance of requests by the priorities of their teams and routes. */
final class PriorityBandsTest {
    private static final Team FIRST = team("first", OptionalInt.of(0));
    private static final Team SECOND = team("second", OptionalInt.of(1));
    private static final Team WITHOUT = team("without", OptionalInt.empty());

    @Test
    void ordersByRouteWhenThereAreNoTeams() {
        PriorityBands bands = PriorityBands.of(List.of(route(0), route(1), route(7)), Optional.empty());
        assertEquals(Importance.LOW, bands.importance(route(7), Optional.empty()));
        assertEquals(Importance.NORMAL, bands.importance(route(1), Optional.empty()));
        assertEquals(Importance.HIGH, bands.importance(route(0), Optional.empty()));
    }

    @Test
    void ordersByTeamBeforeRoute() {
        PriorityBands bands = PriorityBands.of(List.of(route(0), route(1)), teams(FIRST, SECOND));
        assertEquals(Importance.LOW, bands.importance(route(1), Optional.of(SECOND)));
        assertEquals(Importance.NORMAL, bands.importance(route(0), Optional.of(SECOND)));
        assertEquals(Importance.HIGH, bands.importance(route(1), Optional.of(FIRST)));
        assertEquals(Importance.HIGH, bands.importance(route(0), Optional.of(FIRST)));
    }

    @Test
    void putsATeamWithoutAPriorityLast() {
        PriorityBands bands = PriorityBands.of(List.of(route(0), route(3)), teams(SECOND, WITHOUT));
        Importance best = bands.importance(route(0), Optional.of(WITHOUT));
        Importance worst = bands.importance(route(3), Optional.of(SECOND));
        assertTrue(best.compareTo(worst) < 0);
    }

    @Test
    void neverInvertsTheOrder() {
        List<Route> routes = List.of(route(0), route(1), route(2), route(3));
        PriorityBands bands = PriorityBands.of(routes, teams(FIRST, SECOND, WITHOUT));
        Importance previous = Importance.HIGH;
        for (Team team : List.of(FIRST, SECOND, WITHOUT)) {
            for (Route route : routes) {
                Importance importance = bands.importance(route, Optional.of(team));
                assertTrue(importance.compareTo(previous) <= 0, team + " " + route);
                previous = importance;
            }
        }
        assertEquals(Importance.LOW, previous);
    }

    private static Optional<TeamDirectory> teams(Team... teams) {
        return Optional.of(TeamDirectory.of(
                List.of(teams).stream().map(t -> new TeamEntry(t, List.of())).toList()));
    }

    private static Team team(String name, OptionalInt priority) {
        return new Team(name, priority, Optional.empty());
    }

    private static Route route(int priority) {
        return new Route(
                "r" + priority,
                "h",
                "/",
                List.of(new ServiceShare("s", 1)),
                RequestKind.IDEMPOTENT,
                1,
                1,
                1,
                priority,
                false);
    }
}
