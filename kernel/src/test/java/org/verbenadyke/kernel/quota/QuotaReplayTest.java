package org.verbenadyke.kernel.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenadyke.kernel.team.RateLimit;
import org.verbenadyke.kernel.team.Team;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Replays teams of all sizes on a fleet: a few large ones whose callers are everywhere, many small ones with a caller
 * or two. Each sends five eighths of its limit, but where a test says more. No team may exceed its limit beyond the
 * tolerance in any window, whatever happens to the nodes, and what is refused below the limit is lost.
 */
final class QuotaReplayTest {
    private static final QuotaTolerance TOLERANCE = new QuotaTolerance(5 * QuotaFleet.SECOND, 0.1, 20);
    private static final double USUAL = 0.625;
    private static final double LARGEST = 200;
    private static final double CALLER_PER_SECOND = 1.7;
    private static final int TEAMS = 60;

    private final Map<String, QuotaFleet.Tally> tallies = new HashMap<>();
    private final Map<String, List<Integer>> callers = new HashMap<>();
    private final Map<String, Double> strength = new HashMap<>();
    private QuotaFleet fleet;

    @ParameterizedTest
    @CsvSource({"3, 1", "13, 2", "82, 3", "300, 4"})
    void refusesNextToNothingBelowTheLimits(int nodes, long seed) {
        begin(nodes, seed);
        run(12);
        check();
        assertTrue(refusedShare() < 0.01, "refused below the limits: " + refusedShare());
    }

    /** The same load with equal shares of each limit on all nodes, for comparison. */
    @Test
    void refusesLessThanEqualSharesWould() {
        begin(82, 5);
        run(12);
        double dealt = refusedShare();
        double equal = new EqualShares(82, 5).refusedShare(12);
        System.out.printf(
                "replay of team limits: refused %.4f of the requests, with equal shares %.4f%n", dealt, equal);
        assertTrue(dealt < equal / 5, dealt + " against " + equal);
    }

    @ParameterizedTest
    @ValueSource(longs = {6, 7, 8})
    void holdsTeamsThatSendManyTimesTheirUsual(long seed) {
        begin(82, seed);
        run(5);
        List.of("t0", "t3", "t20").forEach(t -> strength.put(t, 8.0));
        run(6);
        List.of("t0", "t3", "t20").forEach(t -> strength.put(t, 1.0));
        run(4);
        check();
        double others = tallies.entrySet().stream()
                .filter(e -> !List.of("t0", "t3", "t20").contains(e.getKey()))
                .mapToDouble(e -> e.getValue().lost())
                .sum();
        assertTrue(others < 0.01 * asked(), "refused of other teams: " + others);
    }

    @ParameterizedTest
    @ValueSource(longs = {9, 10})
    void holdsThroughKillsAndRestartsOfHalfTheNodes(long seed) {
        begin(40, seed);
        run(5);
        strength.put("t0", 8.0);
        for (int i = 0; i < 20; i++) {
            fleet.kill(i);
        }
        run(3);
        for (int i = 0; i < 20; i++) {
            fleet.restart(i);
        }
        run(7);
        check();
        assertTrue(refusedShare("t0") < 0.05, "refused below the limits: " + refusedShare("t0"));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    void holdsWhenAllNodesStartAnewAtOnce(long seed) {
        begin(40, seed);
        run(5);
        List.of("t0", "t5").forEach(t -> strength.put(t, 8.0));
        for (int i = 0; i < 40; i++) {
            fleet.kill(i);
        }
        run(1);
        for (int i = 0; i < 40; i++) {
            fleet.restart(i);
        }
        run(8);
        check();
    }

    @ParameterizedTest
    @ValueSource(longs = {13, 14})
    void holdsOnBothSidesOfACut(long seed) {
        begin(40, seed);
        run(5);
        List.of("t0", "t5").forEach(t -> strength.put(t, 8.0));
        for (int i = 0; i < 20; i++) {
            fleet.cut(i, 1);
        }
        run(10);
        fleet.heal();
        run(6);
        check();
    }

    @ParameterizedTest
    @ValueSource(longs = {15, 16})
    void holdsWhenADealerIsCutOffAlone(long seed) {
        begin(40, seed);
        run(5);
        strength.put("t0", 8.0);
        fleet.cut(fleet.dealer(0, "t0"), 1);
        run(8);
        fleet.heal();
        run(6);
        check();
    }

    @Test
    void followsALimitThatIsLoweredFarBelowTheUse() {
        begin(40, 17);
        run(5);
        Team lower = team("t0", 20, 20);
        fleet.list(lower);
        strength.put("t0", 8.0);
        run(3);
        QuotaFleet.Tally before = tallies.put("t0", tally(lower));
        run(10);
        check();
        assertTrue(before.admittedCount() > 0);
        assertTrue(
                tallies.get("t0").admittedCount() > 180,
                "served at the lower limit: " + tallies.get("t0").admittedCount());
    }

    private void begin(int nodes, long seed) {
        fleet = new QuotaFleet(nodes, seed, TOLERANCE);
        for (int i = 0; i < TEAMS; i++) {
            Team team = team("t" + i, Math.max(2, LARGEST / (i + 1)), Math.max(2, LARGEST / (i + 1)));
            fleet.list(team);
            tallies.put(team.name(), tally(team));
            strength.put(team.name(), 1.0);
            callers.put(team.name(), places(fleet.random(), nodes, team));
        }
        fleet.clock().advance(15 * QuotaFleet.SECOND);
        callers.keySet().stream().sorted().forEach(this::send);
    }

    private QuotaFleet.Tally tally(Team team) {
        return new QuotaFleet.Tally(fleet.clock(), team.limit().orElseThrow());
    }

    private void run(int seconds) {
        fleet.clock().advance(seconds * QuotaFleet.SECOND);
    }

    private void send(String name) {
        double perSecond = fleet.team(name).limit().orElseThrow().perSecond() * USUAL;
        double rate = Math.max(1.25, perSecond) * strength.get(name);
        long gap = (long) (-Math.log(1 - fleet.random().nextDouble()) * QuotaFleet.SECOND / rate);
        fleet.clock().after(gap, () -> {
            List<Integer> places = callers.get(name);
            int node = places.get(fleet.random().nextInt(places.size()));
            if (fleet.running(node)) {
                tallies.get(name).asks(fleet.team(name).limit().orElseThrow());
                fleet.admit(node, name, tallies.get(name));
            }
            send(name);
        });
    }

    private void check() {
        tallies.forEach((name, tally) -> {
            RateLimit limit = fleet.team(name).limit().orElseThrow();
            double window = limit.perSecond() * 5 + limit.burst();
            double bound = window * 1.1 + 20;
            int most = tally.mostIn(5 * QuotaFleet.SECOND);
            assertTrue(most <= bound, name + " had " + most + " in a window, its bound is " + bound);
        });
    }

    private double asked() {
        return tallies.values().stream().mapToInt(QuotaFleet.Tally::asked).sum();
    }

    private double refusedShare(String... but) {
        List<String> left = List.of(but);
        double asked = 0;
        double refused = 0;
        for (Map.Entry<String, QuotaFleet.Tally> e : tallies.entrySet()) {
            if (!left.contains(e.getKey())) {
                asked += e.getValue().asked();
                refused += e.getValue().lost();
            }
        }
        return refused / asked;
    }

    static Team team(String name, double perSecond, double burst) {
        return new Team(name, OptionalInt.empty(), Optional.of(new RateLimit(perSecond, burst)));
    }

    private static List<Integer> places(SplittableRandom random, int nodes, Team team) {
        int count = (int) Math.ceil(team.limit().orElseThrow().perSecond() * USUAL / CALLER_PER_SECOND);
        List<Integer> places = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            places.add(random.nextInt(nodes));
        }
        return places;
    }

    /** Each node admits an equal part of each team's limit by itself. */
    private static final class EqualShares {
        private final int nodes;
        private final SplittableRandom random;

        private EqualShares(int nodes, long seed) {
            this.nodes = nodes;
            this.random = new SplittableRandom(seed);
        }

        private double refusedShare(int seconds) {
            double asked = 0;
            double refused = 0;
            for (int i = 0; i < TEAMS; i++) {
                double limit = Math.max(2, LARGEST / (i + 1));
                List<Integer> places = places(random, nodes, team("t", limit, limit));
                double[] level = new double[nodes];
                double[] at = new double[nodes];
                double perSecond = Math.max(1.25, limit * USUAL);
                for (double t = 0; t < seconds; t += -Math.log(1 - random.nextDouble()) / perSecond) {
                    int node = places.get(random.nextInt(places.size()));
                    double capacity = Math.max(1, TOLERANCE.capacity(new RateLimit(limit, limit)) / nodes);
                    level[node] = Math.min(capacity, level[node] + (t - at[node]) * limit / nodes);
                    at[node] = t;
                    asked++;
                    if (level[node] < 1) {
                        refused++;
                    } else {
                        level[node]--;
                    }
                }
            }
            return refused / asked;
        }
    }
}
