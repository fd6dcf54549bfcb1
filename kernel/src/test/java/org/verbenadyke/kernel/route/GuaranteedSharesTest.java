package org.verbenadyke.kernel.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.team.TeamDirectory;
import org.verbenadyke.kernel.team.TeamEntry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which requests are raised in importance. */
final class GuaranteedSharesTest {
    private static final int REQUESTS = 20_000;
    private static final double TOLERANCE = 0.015;
    private static final long SECOND = 1_000_000_000L;
    private static final Route WRITE = route("write", RequestKind.NON_IDEMPOTENT, 2);
    private static final Route READ = route("read", RequestKind.IDEMPOTENT, 1);
    private static final Route VIEW = route("view", RequestKind.DOWNLOAD, 1);
    private static final Route DIRECT = route("direct", RequestKind.NON_IDEMPOTENT, 0);

    private final FakeServices services = new FakeServices();
    private final List<ShareChange> changes = new ArrayList<>();
    private final GuaranteedShares shares =
            GuaranteedShares.of(plan(WRITE, READ, VIEW, DIRECT)).following(services, changes::add, 0);

    @ParameterizedTest
    @CsvSource({"8, 4, 1", "8, 2, 1", "8, 8, 0.5", "8, 9, 0.444", "8, 10, 0.4", "8, 64, 0.4", "0, 4, 0.4", "8, 0, 0.4"})
    void raisesTheShareThatFollowsFromTheSlotTimes(double read, double write, double expected) {
        services.cost("deep", READ, read);
        services.cost("deep", WRITE, write);
        arrive(READ, 10);
        arrive(WRITE, 10);
        assertEquals(expected, raisedShare(), TOLERANCE);
    }

    @Test
    void weightsTheRequestsAboveByTheirRates() {
        services.cost("deep", READ, 8);
        services.cost("deep", VIEW, 4);
        services.cost("deep", WRITE, 7);
        arrive(READ, 30);
        arrive(VIEW, 10);
        arrive(WRITE, 10);
        assertEquals(0.5, raisedShare(), TOLERANCE);
    }

    @Test
    void measuresAtTheServiceWithTheHighestLevel() {
        services.cost("deep", READ, 8);
        services.cost("deep", WRITE, 16);
        services.cost("other", READ, 16);
        services.cost("other", WRITE, 8);
        services.levels.put("other", 100);
        arrive(READ, 10);
        arrive(WRITE, 10);
        assertEquals(1, raisedShare(), TOLERANCE);
        assertEquals(
                List.of("other"),
                changes.stream().map(c -> c.basis().bottleneck()).toList());
    }

    /** A service that the writes hardly use would hide the overload of the one that they need. */
    @ParameterizedTest
    @CsvSource({"-1, 1", "0, 1", "0.3, 1", "0.5, 0.4"})
    void measuresOnlyWhereWritesTakeSlotTime(double writeAtOther, double expected) {
        services.cost("deep", READ, 8);
        services.cost("deep", WRITE, 4);
        services.cost("other", READ, 0.1);
        if (writeAtOther >= 0) {
            services.cost("other", WRITE, writeAtOther);
        }
        services.levels.put("deep", 50);
        services.levels.put("other", 100);
        arrive(READ, 10);
        arrive(WRITE, 10);
        assertEquals(expected, raisedShare(), TOLERANCE);
    }

    /** Cheap writes would be served more often than more important ones that take more slot time. */
    @ParameterizedTest
    @CsvSource({"16, 4, 0.4, 0.4", "8, 4, 0.5, 0.5", "4, 8, 1, 0.5"})
    void raisesNoMoreOfALessImportantWrite(double important, double other, double ofImportant, double ofOther) {
        Route transfer = route("transfer", RequestKind.NON_IDEMPOTENT, 2);
        Route note = route("note", RequestKind.NON_IDEMPOTENT, 3);
        GuaranteedShares ofBoth =
                GuaranteedShares.of(plan(READ, transfer, note)).following(services, changes::add, 0);
        services.cost("deep", READ, 8);
        services.cost("deep", transfer, important);
        services.cost("deep", note, other);
        Stream.of(READ, transfer, note).forEach(r -> ofBoth.arrived(r, Optional.empty(), requests(r)));
        Importance ofReads = importance(ofBoth, READ, Optional.empty(), new RequestId(5, 1), SECOND);
        assertEquals(ofImportant, shareAt(ofReads, ofBoth, transfer, Optional.empty()), TOLERANCE);
        assertEquals(ofOther, shareAt(ofReads, ofBoth, note, Optional.empty()), TOLERANCE);
    }

    /** The gauge would show the lowest share as long as any kind has no traffic, whatever the others get. */
    @Test
    void reportsTheLowestShareOfKindsWithTraffic() {
        Route note = route("note", RequestKind.NON_IDEMPOTENT, 3);
        GuaranteedShares ofBoth = GuaranteedShares.of(plan(READ, WRITE, note)).following(services, changes::add, 0);
        assertEquals(GuaranteedShares.NO_SHARE, ofBoth.lowestShare());
        services.cost("deep", READ, 8);
        services.cost("deep", WRITE, 4);
        Stream.of(READ, WRITE).forEach(r -> ofBoth.arrived(r, Optional.empty(), requests(r)));
        importance(ofBoth, READ, Optional.empty(), new RequestId(5, 1), SECOND);
        assertEquals(1, ofBoth.lowestShare());
    }

    /** Kinds that differ only in the priority of their teams could not be told apart in the log. */
    @Test
    void reportsChangesWithThePriorityOfTheTeam() {
        Team team = new Team("t", OptionalInt.of(1), Optional.empty());
        TeamDirectory teams = TeamDirectory.of(List.of(new TeamEntry(team, List.of())));
        GuaranteedShares ofTeam =
                GuaranteedShares.of(plan(READ, WRITE).servingTeams(teams)).following(services, changes::add, 0);
        services.cost("deep", READ, 8);
        services.cost("deep", WRITE, 4);
        Stream.of(READ, WRITE).forEach(r -> ofTeam.arrived(r, Optional.of(team), requests(r)));
        importance(ofTeam, READ, Optional.of(team), new RequestId(5, 1), SECOND);
        assertEquals(
                List.of(OptionalInt.of(1)),
                changes.stream().map(ShareChange::teamPriority).toList());
    }

    /** A share taken from one end of the ranks would be refused first, or never, in the band it is raised to. */
    @Test
    void raisesToTheReadsAndOverAllRanks() {
        int[] raised = new int[4];
        for (int i = 0; i < REQUESTS; i++) {
            RequestId id = new RequestId(5, i);
            Importance importance = importance(shares, WRITE, Optional.empty(), id, 0);
            assertEquals(importance, importance(shares, WRITE, Optional.empty(), id, 0));
            raised[id.bucket() * raised.length / RequestId.BUCKETS] += importance == Importance.NORMAL ? 1 : 0;
            assertTrue(importance.compareTo(Importance.NORMAL) <= 0, "raised to " + importance);
        }
        for (int quarter : raised) {
            assertEquals(GuaranteedShares.MIN_SHARE / 4, (double) quarter / REQUESTS, TOLERANCE / 2);
        }
        assertEquals(Importance.HIGH, importance(shares, DIRECT, Optional.empty(), new RequestId(5, 1), 0));
    }

    @Test
    void takesNoEffectUnlessAWriteRanksBelowARead() {
        Route sameRank = route("write", RequestKind.UPLOAD, 1);
        assertFalse(GuaranteedShares.takesEffect(plan(sameRank, READ, DIRECT)));
        assertEquals(
                GuaranteedShares.NO_SHARE,
                GuaranteedShares.of(plan(sameRank, READ)).lowestShare());
        assertTrue(GuaranteedShares.takesEffect(plan(WRITE, READ)));
    }

    /** The most important writes would pay for costs that no share follows from. */
    @Test
    void needsTheCostsOfRaisedAndComparedRoutesOnly() {
        for (Route route : List.of(WRITE, READ, VIEW)) {
            assertTrue(shares.needsCost(route, Optional.empty()), route.name());
        }
        assertFalse(shares.needsCost(DIRECT, Optional.empty()));
        assertFalse(GuaranteedShares.of(plan(READ, DIRECT)).needsCost(READ, Optional.empty()));
    }

    /** Callers without a team share the lowest importance with the least urgent team, but have no reads above it. */
    @Test
    void raisesOnlyToTheReadsOfTheSameTeam() {
        Team urgent = new Team("urgent", OptionalInt.of(0), Optional.empty());
        Team other = new Team("other", OptionalInt.of(1), Optional.empty());
        List<TeamEntry> entries =
                Stream.of(urgent, other).map(t -> new TeamEntry(t, List.of())).toList();
        GuaranteedShares ofTeams =
                GuaranteedShares.of(plan(WRITE, READ, DIRECT).servingTeams(TeamDirectory.of(entries)));
        assertEquals(GuaranteedShares.MIN_SHARE, raisedShare(ofTeams, Optional.of(other)), TOLERANCE);
        assertEquals(0, raisedShare(ofTeams, Optional.empty()));
        assertEquals(Importance.HIGH, importance(ofTeams, WRITE, Optional.of(urgent), new RequestId(5, 1), 0));
    }

    private double raisedShare() {
        return raisedShare(shares, Optional.empty());
    }

    private static double raisedShare(GuaranteedShares of, Optional<Team> team) {
        return shareAt(Importance.NORMAL, of, WRITE, team);
    }

    private static double shareAt(Importance importance, GuaranteedShares of, Route route, Optional<Team> team) {
        int raised = 0;
        for (int i = 0; i < REQUESTS; i++) {
            raised += importance(of, route, team, new RequestId(5, i), SECOND) == importance ? 1 : 0;
        }
        return (double) raised / REQUESTS;
    }

    private static Importance importance(
            GuaranteedShares of, Route route, Optional<Team> team, RequestId id, long nowNanos) {
        return of.importance(route, team, of.plan().importance(route, team), id, nowNanos);
    }

    private void arrive(Route route, int times) {
        for (int i = 0; i < times; i++) {
            shares.arrived(route, Optional.empty(), requests(route));
        }
    }

    private static RequestClass requests(Route route) {
        return new RequestClass("entry", route.name());
    }

    private static RoutePlan plan(Route... routes) {
        return RoutePlan.of(1, List.of(routes), List.of(), RequestLimits.standard());
    }

    private static Route route(String name, RequestKind kind, int priority) {
        return new Route(
                name, "", "/" + name + "/", List.of(new ServiceShare("s", 1)), kind, 1_000, 500, 2, priority, true);
    }

    /** Services with slot times and levels that a test sets. */
    private static final class FakeServices implements DeeperServices {
        private final Map<String, Integer> levels = new HashMap<>();
        private final Map<String, Map<RequestClass, Double>> costs = new HashMap<>();

        void cost(String service, Route route, double nanos) {
            costs.computeIfAbsent(service, s -> new HashMap<>()).put(requests(route), nanos);
        }

        @Override
        public Set<String> reachedBy(RequestClass requests) {
            return costs.keySet();
        }

        @Override
        public int level(String service, long nowNanos) {
            return levels.getOrDefault(service, 0);
        }

        @Override
        public OptionalDouble slotNanos(RequestClass requests, String service, long nowNanos) {
            Double nanos = costs.get(service).get(requests);
            return nanos == null ? OptionalDouble.empty() : OptionalDouble.of(nanos);
        }
    }
}
