package org.verbenadyke.kernel.quota;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenadyke.kernel.admission.AdmissionLevel;
import org.verbenadyke.kernel.admission.ConcurrencyLimit;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.admission.QueueOrder;
import org.verbenadyke.kernel.admission.WaitingCall;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Replays 20 teams whose requests enter a fleet and each make a call to one overloaded service, while one team sends 6
 * times its usual rate for 6 s, within its limit. Guards against a surge that takes the places of other teams.
 */
final class SurplusReplayTest {
    private static final int NODES = 30;
    private static final int TEAMS = 20;
    private static final double SURGE = 6;
    private static final int SURGE_SECONDS = 6;
    private static final int USUAL_SECONDS = 45;
    private static final int SLOTS = 60;
    private static final long HOLD_NANOS = 49 * QuotaFleet.MILLI;
    private static final double CAPACITY = (double) SLOTS * QuotaFleet.SECOND / HOLD_NANOS;
    private static final long CHAIN_NANOS = 60 * QuotaFleet.MILLI;

    @ParameterizedTest
    @CsvSource({
        "1.0, 28, 0",
        "1.3, 21, 0.04",
        "1.3, 22, 0.04",
        "1.7, 23, 0.04",
        "1.7, 24, 0.04",
        "2.4, 25, 0.03",
        "2.4, 26, 0.03"
    })
    void refusesTheSurgeBeforeOtherTeams(double load, long seed, double minGain) {
        Shares without = new Replay(load, seed, false).shares();
        Shares with = new Replay(load, seed, true).shares();
        System.out.printf(
                Locale.ROOT, "replay of a surge, load %.1f, seed %d: %s, without %s%n", load, seed, with, without);
        assertTrue(with.others > without.others + minGain, with + " against " + without);
        assertTrue(with.least >= 0.25 * with.all, "least served: " + with);
        assertTrue(with.all > without.all - 0.02, "all: " + with + " against " + without);
    }

    @Test
    void changesNothingWithoutOverload() {
        Replay with = new Replay(0.8, 27, true);
        Replay without = new Replay(0.8, 27, false);
        System.out.println("replay of a surge, load 0.8, seed 27: " + with.shares() + ", without " + without.shares());
        assertTrue(with.ranked[0] > 0, "the surge is ranked as surplus");
        assertArrayEquals(without.served, with.served);
    }

    /** One run of the load. */
    private static final class Replay {
        private final QuotaFleet fleet;
        private final Gate gate =
                Gate.of(new GateSettings(true, 2, 8, 20 * QuotaFleet.MILLI, QueueOrder.DUE), FixedLimit.of(SLOTS));
        private final boolean ranks;
        private final double usual;
        private final int[] requested = new int[TEAMS];
        private final int[] served = new int[TEAMS];
        private boolean surging;
        private final int[] ranked = new int[TEAMS];
        private long sequence;

        private Replay(double load, long seed, boolean ranks) {
            this.fleet = new QuotaFleet(NODES, seed, QuotaTolerance.none());
            this.ranks = ranks;
            this.usual = load * CAPACITY / (TEAMS - 1 + SURGE);
            fleet.clock().advance(5 * QuotaFleet.SECOND);
            fleet.clock().every(AdmissionLevel.WINDOW_NANOS, gate::endWindow);
            for (int i = 0; i < TEAMS; i++) {
                fleet.putTeam(QuotaReplayTest.team("t" + i, 2 * SURGE * usual, 2 * SURGE * usual));
                send(i);
            }
            fleet.clock().advance(USUAL_SECONDS * QuotaFleet.SECOND);
            surging = true;
            fleet.clock().advance(SURGE_SECONDS * QuotaFleet.SECOND);
            surging = false;
            fleet.clock().advance(QuotaFleet.SECOND);
        }

        private void send(int team) {
            double rate = surging && team == 0 ? SURGE * usual : usual;
            fleet.clock().after(Math.min(fleet.gap(rate), QuotaFleet.SECOND), () -> {
                new Request(team).enter();
                send(team);
            });
        }

        private Shares shares() {
            List<Double> shares = IntStream.range(0, TEAMS)
                    .mapToObj(i -> (double) served[i] / requested[i])
                    .toList();
            double all = (double) IntStream.of(served).sum()
                    / IntStream.of(requested).sum();
            double others =
                    shares.stream().skip(1).mapToDouble(s -> s).average().orElseThrow();
            double least = shares.stream().mapToDouble(s -> s).min().orElseThrow();
            double surplusOfOthers = (double) IntStream.of(ranked).skip(1).sum() / sequence;
            return new Shares(shares.getFirst(), others, least, all, surplusOfOthers);
        }

        /** One request and its call; it counts if it was sent during the surge, as not served when shed. */
        private final class Request implements WaitingCall {
            private final int team;
            private final int entry = fleet.random().nextInt(NODES);
            private final boolean counted = surging;
            private final RequestId id = new RequestId(1, sequence++);
            private final long due = fleet.clock().nanos() + 500 * QuotaFleet.MILLI;

            private Request(int team) {
                this.team = team;
                requested[team] += counted ? 1 : 0;
            }

            private void enter() {
                fleet.admit(
                        entry,
                        "t" + team,
                        this::dispatch,
                        refusal -> assertEquals(
                                RefusalReason.TEAM_UNCERTAIN, refusal.reason(), "all teams are within their limits"));
            }

            private void dispatch() {
                boolean surplus = ranks && fleet.surplus(entry, "t" + team, id);
                ranked[team] += surplus ? 1 : 0;
                if ((surplus ? importance().surplusRank(id) : rank()) >= gate.level()) {
                    fleet.clock()
                            .after(
                                    CHAIN_NANOS,
                                    () -> gate.offer(this, fleet.clock().nanos()));
                }
            }

            @Override
            public Importance importance() {
                return Importance.LOW;
            }

            @Override
            public int rank() {
                return importance().rank(id, false);
            }

            @Override
            public int depth() {
                return 1;
            }

            @Override
            public long deadlineNanos() {
                return due + 500 * QuotaFleet.MILLI;
            }

            @Override
            public long dueNanos() {
                return due;
            }

            @Override
            public void admitted() {
                fleet.clock().after(HOLD_NANOS, () -> {
                    gate.release(fleet.clock().nanos(), HOLD_NANOS, ConcurrencyLimit.Outcome.ANSWERED, 1);
                    served[team] += counted ? 1 : 0;
                });
            }

            @Override
            public void shed(RefusalReason reason) {}
        }
    }

    /**
     * The served shares of the requests sent during the surge.
     *
     * @param surging of the surging team
     * @param others of the mean of the other teams
     * @param least of the least served team
     * @param all of all requests
     * @param surplusOfOthers the share of the requests that are surplus of the other teams
     */
    private record Shares(double surging, double others, double least, double all, double surplusOfOthers) {}
}
