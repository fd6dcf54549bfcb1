package org.verbenadyke.kernel.route;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link RoutePlan}. */
final class RoutePlanTest {
    private final RoutePlan plan = RoutePlan.of(
            7,
            List.of(
                    route("all", "a.example", "/", "s"),
                    route("files", "a.example", "/files/", "s"),
                    route("deep", "a.example", "/files/old/", "s"),
                    route("other", "b.example", "/files/", "s")),
            List.of(new ServiceEntry("s", "/health", 10)),
            RequestLimits.standard());

    @Test
    void findsTheLongestPrefixOfTheHost() {
        assertEquals("deep", found("a.example", "/files/old/x?q=/y/"));
        assertEquals("files", found("a.example", "/files/older"));
        assertEquals("all", found("a.example", "/filesystem/x"));
        assertEquals("other", found("b.example", "/files/old/x"));
    }

    @Test
    void ignoresCaseAndPortOfTheHost() {
        assertEquals("all", found("A.Example:8080", "/x"));
    }

    @Test
    void findsNothingElsewhere() {
        assertTrue(plan.find("b.example", "/x").isEmpty());
        assertTrue(plan.find("c.example", "/files/x").isEmpty());
        assertTrue(plan.find("", "").isEmpty());
    }

    private String found(String host, String path) {
        Optional<Route> route = plan.find(host, path);
        return route.map(Route::name).orElse("none");
    }

    static Route route(String name, String host, String prefix, String service) {
        return new Route(
                name,
                host,
                prefix,
                List.of(new ServiceShare(service, 1)),
                RequestKind.IDEMPOTENT,
                1_000,
                500,
                2,
                1,
                false);
    }
}
