package org.verbenadyke.kernel.route;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link RoutePlanCheck}. */
final class RoutePlanCheckTest {
    @Test
    void reportsEveryProblemAtOnce() {
        Route bad = new Route(
                "bad", "h", "files", List.of(new ServiceShare("gone", 0)), RequestKind.DOWNLOAD, 0, 0, 0, 0, false);
        Route good = RoutePlanTest.route("good", "h", "/", "s");
        Route duplicate = RoutePlanTest.route("twin", "h", "/", "s");
        List<String> problems = RoutePlanCheck.problems(plan(bad, good, duplicate));
        assertEquals(6, problems.size(), problems.toString());
    }

    @Test
    void acceptsAUsablePlan() {
        assertTrue(RoutePlanCheck.problems(plan(RoutePlanTest.route("good", "h", "/", "s")))
                .isEmpty());
    }

    private static RoutePlan plan(Route... routes) {
        return RoutePlan.of(1, List.of(routes), List.of(new ServiceEntry("s", "/health", 1)), RequestLimits.standard());
    }
}
