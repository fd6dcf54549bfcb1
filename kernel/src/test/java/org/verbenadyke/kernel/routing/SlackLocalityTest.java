package org.verbenadyke.kernel.routing;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenadyke.kernel.message.Message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link SlackLocality}, alone and in a replay of many senders. */
final class SlackLocalityTest {
    private static final long MILLI = PlacementReplay.MILLI;
    private static final long SEED = 7;
    private static final int SLOTS = 100;
    private static final int CALLS = 1_000;
    private static final double[] SPEEDS = {0.5, 1, 1, 1.5};
    private static final Location HERE = new Location("r", "here");
    private static final Endpoint AT = new Endpoint("127.0.0.1", 1);

    private final SplittableRandom random = new SplittableRandom(SEED);
    private final Router router = Router.create(
            "me", HERE, 12, Locality.SLACK.applyTo(new ExpectedFinishProvider().create()), () -> random, true);

    SlackLocalityTest() {
        router.update(List.of(
                new Upstream("near", "s", AT, HERE), new Upstream("far", "s", AT, new Location("r", "elsewhere"))));
        router.candidates().forEach(c -> c.succeeded(20 * MILLI));
    }

    @Test
    void standardLeavesTheChooserAsItIs() {
        Chooser chooser = new TwoChoicesProvider().create();
        assertSame(chooser, Locality.STANDARD.applyTo(chooser));
    }

    @Test
    void theNearUpstreamGetsFewerCallsAsItFills() {
        report(70, 30);
        assertEquals(CALLS, callsToNear(PlacementReplay.ENOUGH_NANOS));
        report(81, 30);
        int half = callsToNear(PlacementReplay.ENOUGH_NANOS);
        assertTrue(half > 0.4 * CALLS && half < 0.6 * CALLS, half + " near");
        report(92, 30);
        assertEquals(0, callsToNear(PlacementReplay.ENOUGH_NANOS));
    }

    @Test
    void callsShortOfTimeGoToTheFasterUpstream() {
        report(70, 30);
        assertEquals(0, callsToNear(PlacementReplay.SHORT_NANOS));
    }

    @Test
    void callsDontCrossToAnUpstreamThatIsAsFull() {
        report(95, 90);
        assertEquals(CALLS, callsToNear(PlacementReplay.ENOUGH_NANOS));
    }

    @Test
    void aNearUpstreamInTroubleIsNotPreferred() {
        List<Consumer<Candidate>> troubles = List.of(c -> c.failed(0), c -> c.shed(0), Candidate::drain);
        for (Consumer<Candidate> trouble : troubles) {
            report(30, 30);
            for (int i = 0; i < 20; i++) {
                candidate("near").succeeded(20 * MILLI);
            }
            assertEquals(CALLS, callsToNear(PlacementReplay.ENOUGH_NANOS));
            trouble.accept(candidate("near"));
            assertEquals(0, callsToNear(PlacementReplay.ENOUGH_NANOS));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {60, 240})
    void keepsMostCallsInTheirDataCentreAndQueuesFewer(int senders) {
        double[][] speeds = {{1, 1, 1, 1}, {1, 1, 1, 1}, {1, 1, 1, 1}, {1, 1, 1, 1}};
        PlacementReplay before =
                replay(speeds, senders, 0.25, Locality.STANDARD).run(0.8);
        PlacementReplay after = replay(speeds, senders, 0.25, Locality.SLACK).run(0.8);
        assertTrue(after.remoteShare() < 0.55 * before.remoteShare(), after.remoteShare() + " remote");
        assertTrue(after.queuedShare() < before.queuedShare(), after.queuedShare() + " queued");
    }

    /** Neither too small a data centre nor one without an upstream may delay calls that are short of time. */
    @Test
    void callsShortOfTimeAreAsFastAsBeforeWhereCapacityIsUneven() {
        double[][] small = {{1}, {1, 1}, {1, 1, 1}};
        double[][] none = {{}, {1, 1}, {1, 1}, {1, 1}};
        for (double[][] speeds : List.of(small, none)) {
            PlacementReplay before = replay(speeds, 60, 0.25, Locality.STANDARD).run(0.8);
            PlacementReplay after = replay(speeds, 60, 0.25, Locality.SLACK).run(0.8);
            assertTrue(
                    after.hurried().meanMillis() <= before.hurried().meanMillis(),
                    after.hurried() + " after " + before.hurried());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 60})
    void upstreamsOfUnevenSpeedAreUtilisedAlike(int senders) {
        PlacementReplay replay =
                replay(new double[][] {SPEEDS}, senders, 0, Locality.SLACK).run(0.8);
        for (int i = 0; i < SPEEDS.length; i++) {
            assertEquals(1, replay.shareByCapacity(i), 0.1, "upstream " + i);
        }
    }

    private static PlacementReplay replay(double[][] speeds, int senders, double hurried, Locality locality) {
        return new PlacementReplay(new PlacementReplay.Fleet(speeds, senders, hurried), locality, SEED);
    }

    private Candidate candidate(String id) {
        return router.candidates().stream()
                .filter(c -> c.upstream().id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private void report(int near, int far) {
        candidate("near").reported("", new Message.Report(near, SLOTS, 0, 0, false, Message.DeeperLevel.NONE), 0);
        candidate("far").reported("", new Message.Report(far, SLOTS, 0, 0, false, Message.DeeperLevel.NONE), 0);
    }

    private int callsToNear(long timeLeft) {
        int near = 0;
        for (int i = 0; i < CALLS; i++) {
            Choice choice = router.route(new RouteQuery("s", "", 0, "", Set.of(), timeLeft), 0);
            near += ((Choice.Selected) choice).candidate().local() ? 1 : 0;
        }
        return near;
    }
}
