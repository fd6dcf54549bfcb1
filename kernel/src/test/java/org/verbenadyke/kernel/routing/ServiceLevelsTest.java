package org.verbenadyke.kernel.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.message.Message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests {@link ServiceLevels} and how {@link Router} applies them. */
final class ServiceLevelsTest {
    private static final long MILLI = 1_000_000L;
    private static final Location LOCATION = new Location("r", "d");
    private static final Endpoint AT = new Endpoint("127.0.0.1", 1);
    private static final String PATH = "GET /lookup";

    private final ServiceLevels levels = ServiceLevels.empty();

    @Test
    void keepsTheMoreRecentLevel() {
        received("front-1", "front", PATH, 0, new Message.DeeperLevel("deep", 200, 300), 1_000);
        received("front-2", "front", PATH, 0, new Message.DeeperLevel("deep", 90, 400), 1_010);
        assertEquals(200, levels.deeperLevel("front", PATH, 1_020 * MILLI));
        received("front-2", "front", PATH, 0, new Message.DeeperLevel("deep", 90, 10), 1_030);
        assertEquals(90, levels.deeperLevel("front", PATH, 1_040 * MILLI));
    }

    @Test
    void takesTheLowestLevelOfRecentlySeenUpstreams() {
        received("deep-1", "deep", "GET /geo", 200, Message.DeeperLevel.NONE, 1_000);
        received("deep-2", "deep", "GET /geo", 120, Message.DeeperLevel.NONE, 1_100);
        assertEquals(new Message.DeeperLevel("deep", 120, 50), levels.strictestLevel(Set.of("deep"), 1_150 * MILLI));
        received("deep-1", "deep", "GET /geo", 210, Message.DeeperLevel.NONE, 1_500);
        assertEquals(new Message.DeeperLevel("deep", 210, 0), levels.strictestLevel(Set.of("deep"), 1_500 * MILLI));
    }

    @Test
    void reportsTheServiceWithTheStrictestLevel() {
        received("a-1", "a", "GET /x", 10, Message.DeeperLevel.NONE, 1_000);
        received("b-1", "b", "GET /x", 30, Message.DeeperLevel.NONE, 1_000);
        assertEquals(
                "b", levels.strictestLevel(Set.of("a", "b", "c"), 1_010 * MILLI).service());
        assertEquals(Message.DeeperLevel.NONE, levels.strictestLevel(Set.of(), 1_010 * MILLI));
    }

    @Test
    void levelsDecayUnlessReportedAgain() {
        received("front-1", "front", PATH, 0, new Message.DeeperLevel("deep", 200, 0), 1_000);
        assertEquals(200, levels.deeperLevel("front", PATH, 1_400 * MILLI));
        assertEquals(0, levels.deeperLevel("front", PATH, 2_000 * MILLI));
        assertEquals(0, levels.deeperLevel("front", "GET /other", 1_010 * MILLI));
    }

    /** A different call of the same node brings a level of the same service; no upstream reported recently. */
    @Test
    void appliesLevelsLearnedFromOtherCalls() {
        SplittableRandom random = new SplittableRandom(1);
        Router router = Router.create("me", LOCATION, 12, new ExpectedFinishProvider().create(), () -> random, true);
        List<Upstream> upstreams = new ArrayList<>(List.of(new Upstream("mid-1", "mid", AT, LOCATION)));
        for (int i = 0; i < 12; i++) {
            upstreams.add(new Upstream("front-" + i, "front", AT, LOCATION));
        }
        router.update(upstreams);
        report(router, "front-3", PATH, new Message.DeeperLevel("deep", 0, 0), 1_000);
        assertInstanceOf(Choice.Selected.class, route(router, 100, 9_000));
        report(router, "mid-1", "GET /status", new Message.DeeperLevel("deep", 200, 20), 9_010);
        assertEquals(new Choice.Shed(200), route(router, 100, 9_030));
        assertInstanceOf(Choice.Selected.class, route(router, 200, 9_030));
    }

    private void received(String id, String service, String path, int level, Message.DeeperLevel below, long millis) {
        Message.Report report = new Message.Report(1, 10, level, level, false, below);
        levels.received(new Upstream(id, service, AT, LOCATION), path, report, millis * MILLI);
    }

    private static void report(Router router, String id, String path, Message.DeeperLevel below, long millis) {
        Candidate from = router.candidates().stream()
                .filter(c -> c.upstream().id().equals(id))
                .findFirst()
                .orElseThrow();
        from.reported(path, new Message.Report(1, 10, 0, 0, false, below), millis * MILLI);
    }

    private static Choice route(Router router, int rank, long millis) {
        return router.route(new RouteQuery("front", PATH, rank, "", Set.of(), 0), millis * MILLI);
    }
}
