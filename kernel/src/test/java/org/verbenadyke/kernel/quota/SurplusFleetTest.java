package org.verbenadyke.kernel.quota;

import java.util.function.IntUnaryOperator;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.team.Team;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against surplus that outlives its allocator, and against surplus that a fault or a low limit brings about. */
final class SurplusFleetTest {
    private static final int NODES = 12;
    private static final double USUAL = 50;
    private static final double SURGE = 300;
    private static final double HIGH_LIMIT = 1_000;

    private final QuotaFleet fleet = new QuotaFleet(NODES, 41, QuotaTolerance.none());
    private IntUnaryOperator entryNode = node -> node;
    private double perSecond = USUAL;
    private int admitted;
    private int ranked;
    private long sequence;

    @Test
    void aTeamThatRisesToItsLimitHasNone() {
        start(USUAL * 1.6);
        perSecond = USUAL * 1.7;
        assertEquals(0, rankedShare(10));
    }

    @Test
    void aTeamWithoutALimitHasNone() {
        start(HIGH_LIMIT);
        assertTrue(surgeShare(3) > 0.3);
        assertFalse(fleet.surplus(0, "free", new RequestId(1, 1)));
    }

    @Test
    void lostRepliesNeitherBringAboutSurplusNorHideIt() {
        start(HIGH_LIMIT);
        fleet.loseReplies(0.3);
        assertEquals(0, rankedShare(10), "steady");
        double share = surgeShare(4);
        assertTrue(share > 0.2, "surging: " + share);
    }

    @Test
    void aNewAllocatorStartsWithoutSurplus() {
        start(HIGH_LIMIT);
        double before = surgeShare(3);
        fleet.kill(fleet.allocator(0, "t"));
        rankedShare(2);
        double after = rankedShare(5);
        assertTrue(before > 0.3 && after == 0, "before " + before + ", after " + after);
    }

    @Test
    void aSteadyTeamHasNoneAfterACutThatHidMostOfItsDemand() {
        start(HIGH_LIMIT);
        int allocator = fleet.allocator(0, "t");
        for (int i = 0; i < NODES - 2; i++) {
            fleet.partition((allocator + 1 + i) % NODES, 1);
        }
        rankedShare(40);
        fleet.heal();
        assertEquals(0, rankedShare(20));
    }

    @Test
    void aSteadyTeamHasNoneAfterItsAllocatorWasCutOffAlone() {
        start(HIGH_LIMIT);
        int allocator = fleet.allocator(0, "t");
        entryNode = n -> n == allocator ? (n + 1) % NODES : n;
        fleet.partition(allocator, 1);
        rankedShare(25);
        fleet.heal();
        assertEquals(0, rankedShare(20));
    }

    @Test
    void surplusFadesWhileNoReplyArrives() {
        start(HIGH_LIMIT);
        perSecond = SURGE;
        rankedShare(3);
        int node = (fleet.allocator(0, "t") + 1) % NODES;
        fleet.loseReplies(1);
        assertTrue(selected(node) > 300, "by the last reply: " + selected(node));
        rankedShare(2);
        assertEquals(0, selected(node));
    }

    @Test
    void surplusEndsAtANodeThatIsCutOff() {
        start(HIGH_LIMIT);
        surgeShare(3);
        int node = (fleet.allocator(0, "t") + 1) % NODES;
        fleet.partition(node, 1);
        entryNode = n -> node;
        rankedShare(2);
        assertEquals(0, rankedShare(2));
    }

    /** A node without replies would otherwise rank by the last report for as long as it is cut off. */
    @ParameterizedTest
    @CsvSource({"1.0, 0.5", "1.5, 0.25", "2.0, 0", "9.0, 0"})
    void aReportFadesAfterASecond(double seconds, double share) {
        assertEquals(share, ReportedSurplus.of(0.5, 0).at((long) (seconds * QuotaFleet.SECOND)));
    }

    private void start(double limit) {
        fleet.putTeam(QuotaReplayTest.team("t", limit, limit));
        fleet.putTeam(Team.named("free"));
        fleet.clock().advance(5 * QuotaFleet.SECOND);
        send();
        assertEquals(0, rankedShare(40), "at the usual rate");
    }

    private double surgeShare(int seconds) {
        perSecond = SURGE;
        return rankedShare(seconds);
    }

    /** Returns the share of the admitted requests of the next seconds that are surplus. */
    private double rankedShare(int seconds) {
        admitted = 0;
        ranked = 0;
        fleet.clock().advance(seconds * QuotaFleet.SECOND);
        return (double) ranked / admitted;
    }

    /** Returns how many of 1,000 requests would be surplus at a node now. */
    private long selected(int node) {
        return LongStream.range(0, 1_000)
                .filter(i -> fleet.surplus(node, "t", new RequestId(2, i)))
                .count();
    }

    private void send() {
        fleet.clock().after(fleet.gap(perSecond), () -> {
            int node = entryNode.applyAsInt(fleet.random().nextInt(NODES));
            if (fleet.running(node)) {
                fleet.admit(node, "t", () -> count(node), refusal -> {});
            }
            send();
        });
    }

    /** Counts an admitted request, and whether it is surplus at the node where it entered. */
    private void count(int node) {
        admitted++;
        ranked += fleet.surplus(node, "t", new RequestId(1, sequence++)) ? 1 : 0;
    }
}
