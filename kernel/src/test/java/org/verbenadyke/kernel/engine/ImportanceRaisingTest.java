package org.verbenadyke.kernel.engine;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.cost.Usage;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.route.RequestKind;
import org.verbenadyke.kernel.route.RequestLimits;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.route.ServiceShare;
import org.verbenadyke.kernel.routing.ServiceLevels;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests how the shares of the plan in force are applied to requests. */
final class ImportanceRaisingTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int REQUESTS = 20_000;
    private static final double TOLERANCE = 0.015;
    private static final Route READ = route("read", RequestKind.IDEMPOTENT, 1);
    private static final Route WRITE = route("write", RequestKind.NON_IDEMPOTENT, 2);
    private static final Route DIRECT = route("direct", RequestKind.NON_IDEMPOTENT, 0);

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private RoutePlan plan = plan(1, READ, WRITE, DIRECT);
    private final ImportanceRaising raising = ImportanceRaising.of(
            Engines.parts(new MemoryNet(), "entry", 1, clock, Quarantine.standalone(clock), () -> Optional.of(plan)),
            ServiceLevels.empty());

    /** Usage of each request would cost processor time on all nodes of the chain. */
    @Test
    void learnsFromAQuarterOfTheRequestsWhileTheCostIsFresh() {
        assertEquals(1, learnedShare(WRITE));
        for (int i = 0; i < 8; i++) {
            raising.costs().record("s", "GET /p", Importance.LOW, false, Usage.of("deep", 40), clock.nanos());
        }
        assertEquals(0.25, learnedShare(WRITE), TOLERANCE);
        assertEquals(0, learnedShare(DIRECT));
        clock.advance(8 * SECOND);
        assertEquals(1, learnedShare(WRITE));
    }

    /** Between two plans, a request would lose the importance that its own plan gave it. */
    @Test
    void neverLowersTheImportanceAfterAChangeOfPlan() {
        Team team = new Team("t", OptionalInt.of(7), Optional.empty());
        RoutedRequest ofTeam = request(WRITE, Importance.HIGH).withTeam(Optional.of(team));
        assertEquals(Set.of(Importance.HIGH), importances(ofTeam));
        assertEquals(Set.of(Importance.NORMAL), importances(request(READ, Importance.NORMAL)));
        assertEquals(Set.of(Importance.LOW, Importance.NORMAL), importances(request(WRITE, Importance.LOW)));
    }

    @Test
    void raisesOnlyRequestsOfTheRoutesOfThePlan() {
        Route otherPriority = route("write", RequestKind.NON_IDEMPOTENT, 3);
        assertEquals(Set.of(Importance.LOW), importances(request(otherPriority, Importance.LOW)));
    }

    /** A thread that still reads the older plan would discard the shares and rates of the newer one. */
    @Test
    void keepsTheSharesOfTheNewerPlan() {
        plan = plan(2, READ, DIRECT);
        assertFalse(raising.takesEffect());
        plan = plan(1, READ, WRITE, DIRECT);
        assertFalse(raising.takesEffect());
        plan = plan(3, READ, WRITE);
        assertTrue(raising.takesEffect());
    }

    private Set<Importance> importances(RoutedRequest routed) {
        return IntStream.range(0, REQUESTS)
                .mapToObj(i -> raising.importance(routed, new RequestId(5, i), clock.nanos()))
                .collect(Collectors.toSet());
    }

    private double learnedShare(Route route) {
        RoutedRequest routed = request(route, Importance.LOW);
        long learned = IntStream.range(0, REQUESTS)
                .filter(i -> raising.learns(routed, new RequestId(5, i)))
                .count();
        return (double) learned / REQUESTS;
    }

    private static RoutePlan plan(long version, Route... routes) {
        return RoutePlan.of(version, List.of(routes), List.of(), RequestLimits.standard());
    }

    private static RoutedRequest request(Route route, Importance importance) {
        return new RoutedRequest(
                route,
                "s",
                new Message.Content("GET", "/p/x", List.of(), new byte[0]),
                importance,
                Optional.empty(),
                SECOND,
                0);
    }

    private static Route route(String name, RequestKind kind, int priority) {
        return new Route(
                name, "", "/" + name + "/", List.of(new ServiceShare("s", 1)), kind, SECOND, SECOND, 1, priority, true);
    }
}
