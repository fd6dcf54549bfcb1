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
 * Replays the load of teams of all sizes on a fleet: a few large teams whose callers are everywhere, many small ones
 * with a caller or two. Each team sends five eighths of its limit unless a test raises the load. No team may exceed its
 * limit beyond the tolerance in any window, whatever happens to the nodes. Refusals of requests within the limit are
 * counted against the limiter.
 */
final class QuotaReplayTest {
    private static final QuotaTolerance TOLERANCE = new QuotaTolerance(5 * QuotaFleet.SECOND, 0.1, 20);
    private static final double USUAL_LIMIT_SHARE = 0.625;
    private static final double LARGEST = 200;
    private static final double CALLER_PER_SECOND = 1.7;
    private static final int TEAMS = 60;

    private final Map<String, QuotaFleet.Tally> tallies = new HashMap<>();
    private final Map<String, List<Integer>> callers = new HashMap<>();
    private final Map<String, Double> loadFactors = new HashMap<>();
    private QuotaFleet fleet;

    @ParameterizedTest
    @CsvSource({"3, 1", "13, 2", "82, 3", "300, 4"})
    void refusesAlmostNothingBelowTheLimits(int nodes, long seed) {
        startFleet(nodes, seed);
        run(12);
        assertLimitsHeld();
        assertTrue(refusedShare() < 0.01, "refused below the limits: " + refusedShare());
    }

    /** Compares the limiter with equal shares of each limit on all nodes, under the same load. */
    @Test
    void refusesLessThanEqualSharesWould() {
        startFleet(82, 5);
        run(12);
        double leased = refusedShare();
        double equal = new EqualShares(82, 5).refusedShare(12);
        System.out.printf(
                "replay of team limits: refused %.4f of the requests, with equal shares %.4f%n", leased, equal);
        assertTrue(leased < equal / 5, leased + " against " + equal);
    }

    @ParameterizedTest
    @ValueSource(longs = {6, 7, 8})
    void limitsTeamsThatSendManyTimesTheirUsualRate(long seed) {
        startFleet(82, seed);
        run(5);
        List.of("t0", "t3", "t20").forEach(t -> loadFactors.put(t, 8.0));
        run(6);
        List.of("t0", "t3", "t20").forEach(t -> loadFactors.put(t, 1.0));
        run(4);
        assertLimitsHeld();
        double others = tallies.entrySet().stream()
                .filter(e -> !List.of("t0", "t3", "t20").contains(e.getKey()))
                .mapToDouble(e -> e.getValue().wronglyRefused())
                .sum();
        assertTrue(others < 0.01 * requestCount(), "refused of other teams: " + others);
    }

    @ParameterizedTest
    @ValueSource(longs = {9, 10})
    void holdsLimitsThroughKillsAndRestartsOfHalfTheNodes(long seed) {
        startFleet(40, seed);
        run(5);
        loadFactors.put("t0", 8.0);
        for (int i = 0; i < 20; i++) {
            fleet.kill(i);
        }
        run(3);
        for (int i = 0; i < 20; i++) {
            fleet.restart(i);
        }
        run(7);
        assertLimitsHeld();
        assertTrue(refusedShare("t0") < 0.05, "refused below the limits: " + refusedShare("t0"));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12})
    void holdsLimitsWhenAllNodesRestartAtOnce(long seed) {
        startFleet(40, seed);
        run(5);
        List.of("t0", "t5").forEach(t -> loadFactors.put(t, 8.0));
        for (int i = 0; i < 40; i++) {
            fleet.kill(i);
        }
        run(1);
        for (int i = 0; i < 40; i++) {
            fleet.restart(i);
        }
        run(8);
        assertLimitsHeld();
    }

    @ParameterizedTest
    @ValueSource(longs = {13, 14})
    void holdsLimitsOnBothSidesOfAPartition(long seed) {
        startFleet(40, seed);
        run(5);
        List.of("t0", "t5").forEach(t -> loadFactors.put(t, 8.0));
        for (int i = 0; i < 20; i++) {
            fleet.partition(i, 1);
        }
        run(10);
        fleet.heal();
        run(6);
        assertLimitsHeld();
    }

    @ParameterizedTest
    @ValueSource(longs = {15, 16})
    void holdsLimitsWhenAnAllocatorIsPartitionedAlone(long seed) {
        startFleet(40, seed);
        run(5);
        loadFactors.put("t0", 8.0);
        fleet.partition(fleet.allocator(0, "t0"), 1);
        run(8);
        fleet.heal();
        run(6);
        assertLimitsHeld();
    }

    @Test
    void appliesALimitLoweredFarBelowTheUse() {
        startFleet(40, 17);
        run(5);
        Team lower = team("t0", 20, 20);
        fleet.putTeam(lower);
        loadFactors.put("t0", 8.0);
        run(3);
        QuotaFleet.Tally before = tallies.put("t0", tally(lower));
        run(10);
        assertLimitsHeld();
        assertTrue(before.admittedCount() > 0);
        assertTrue(
                tallies.get("t0").admittedCount() > 180,
                "served at the lower limit: " + tallies.get("t0").admittedCount());
    }

    private void startFleet(int nodes, long seed) {
        fleet = new QuotaFleet(nodes, seed, TOLERANCE);
        for (int i = 0; i < TEAMS; i++) {
            Team team = team("t" + i, Math.max(2, LARGEST / (i + 1)), Math.max(2, LARGEST / (i + 1)));
            fleet.putTeam(team);
            tallies.put(team.name(), tally(team));
            loadFactors.put(team.name(), 1.0);
            callers.put(team.name(), randomNodes(fleet.random(), nodes, team));
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
        double perSecond = fleet.team(name).limit().orElseThrow().perSecond() * USUAL_LIMIT_SHARE;
        double rate = Math.max(1.25, perSecond) * loadFactors.get(name);
        long gap = fleet.gap(rate);
        fleet.clock().after(gap, () -> {
            List<Integer> nodes = callers.get(name);
            int node = nodes.get(fleet.random().nextInt(nodes.size()));
            if (fleet.running(node)) {
                tallies.get(name).countRequest(fleet.team(name).limit().orElseThrow());
                fleet.admit(node, name, tallies.get(name));
            }
            send(name);
        });
    }

    private void assertLimitsHeld() {
        tallies.forEach((name, tally) -> {
            RateLimit limit = fleet.team(name).limit().orElseThrow();
            double window = limit.perSecond() * 5 + limit.burst();
            double bound = window * 1.1 + 20;
            int max = tally.maxAdmittedIn(5 * QuotaFleet.SECOND);
            assertTrue(max <= bound, name + " had " + max + " in a window, its bound is " + bound);
        });
    }

    private double requestCount() {
        return tallies.values().stream()
                .mapToInt(QuotaFleet.Tally::requestCount)
                .sum();
    }

    private double refusedShare(String... excluded) {
        List<String> excludedTeams = List.of(excluded);
        double requests = 0;
        double refused = 0;
        for (Map.Entry<String, QuotaFleet.Tally> e : tallies.entrySet()) {
            if (!excludedTeams.contains(e.getKey())) {
                requests += e.getValue().requestCount();
                refused += e.getValue().wronglyRefused();
            }
        }
        return refused / requests;
    }

    static Team team(String name, double perSecond, double burst) {
        return new Team(name, OptionalInt.empty(), Optional.of(new RateLimit(perSecond, burst)));
    }

    private static List<Integer> randomNodes(SplittableRandom random, int nodes, Team team) {
        int count = (int) Math.ceil(team.limit().orElseThrow().perSecond() * USUAL_LIMIT_SHARE / CALLER_PER_SECOND);
        List<Integer> callerNodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            callerNodes.add(random.nextInt(nodes));
        }
        return callerNodes;
    }

    /** A limiter in which each node admits an equal share of each team's limit by itself. */
    private static final class EqualShares {
        private final int nodes;
        private final SplittableRandom random;

        private EqualShares(int nodes, long seed) {
            this.nodes = nodes;
            this.random = new SplittableRandom(seed);
        }

        private double refusedShare(int seconds) {
            double requests = 0;
            double refused = 0;
            for (int i = 0; i < TEAMS; i++) {
                double limit = Math.max(2, LARGEST / (i + 1));
                List<Integer> callerNodes = randomNodes(random, nodes, team("t", limit, limit));
                double[] level = new double[nodes];
                double[] at = new double[nodes];
                double perSecond = Math.max(1.25, limit * USUAL_LIMIT_SHARE);
                for (double t = 0; t < seconds; t += -Math.log(1 - random.nextDouble()) / perSecond) {
                    int node = callerNodes.get(random.nextInt(callerNodes.size()));
                    double capacity = Math.max(1, TOLERANCE.capacity(new RateLimit(limit, limit)) / nodes);
                    level[node] = Math.min(capacity, level[node] + (t - at[node]) * limit / nodes);
                    at[node] = t;
                    requests++;
                    if (level[node] < 1) {
                        refused++;
                    } else {
                        level[node]--;
                    }
                }
            }
            return refused / requests;
        }
    }
}
