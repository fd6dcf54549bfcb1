package org.verbenadyke.kernel.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.message.Message;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Replays a load on three upstreams of which one sheds near half of its calls for some seconds, at once and without
 * looking busy.
 */
final class SheddingUpstreamTest {
    private static final long MILLI = 1_000_000L;
    private static final long SERVICE_NANOS = 20 * MILLI;
    private static final long TROUBLE_FROM = 2_000 * MILLI;
    private static final long TROUBLE_TO = 8_000 * MILLI;
    private static final long END = 14_000 * MILLI;
    private static final double SHED_SHARE = 0.45;
    private static final int PLACES = 40;
    private static final Location PLACE = new Location("r", "d");
    private static final Endpoint AT = new Endpoint("127.0.0.1", 1);

    private final SplittableRandom random = new SplittableRandom(5);
    private final Router router =
            Router.create("me", PLACE, 8, new ExpectedFinishProvider().create(), () -> random, true);
    private final PriorityQueue<Answer> answers = new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
    private int sentInTrouble;
    private int shedInTrouble;
    private int sentLate;
    private int sentLateToOne;

    @Test
    void avoidsTheUpstreamThatShedsAndComesBackToIt() {
        replay(true);
        assertTrue(shedInTrouble < 0.06 * sentInTrouble, shedInTrouble + " of " + sentInTrouble + " shed");
        assertTrue(sentLateToOne > 0.2 * sentLate, sentLateToOne + " of " + sentLate + " after the trouble");
    }

    /** The plain choice by load and speed, which takes a shedding upstream for an idle one. */
    @Test
    void wouldElseKeepSendingToIt() {
        replay(false);
        assertTrue(shedInTrouble > 0.12 * sentInTrouble, shedInTrouble + " of " + sentInTrouble + " shed");
    }

    private void replay(boolean noted) {
        List<Upstream> upstreams = new ArrayList<>();
        for (String id : List.of("a", "b", "c")) {
            upstreams.add(new Upstream(id, "s", AT, PLACE));
        }
        router.update(upstreams);
        for (long now = 0; now < END; now += MILLI) {
            while (!answers.isEmpty() && answers.peek().atNanos() <= now) {
                answers.poll().arrive();
            }
            send(now, noted);
        }
    }

    private void send(long now, boolean noted) {
        Choice choice = router.route(new RouteQuery("s", "", 0, "", Set.of()), now);
        Candidate to = ((Choice.Selected) choice).candidate();
        boolean one = to.upstream().id().equals("a");
        boolean trouble = now >= TROUBLE_FROM && now < TROUBLE_TO;
        boolean shed = one && trouble && random.nextDouble() < SHED_SHARE;
        to.sent();
        sentInTrouble += trouble ? 1 : 0;
        shedInTrouble += shed ? 1 : 0;
        sentLate += now >= TROUBLE_TO + 3_000 * MILLI ? 1 : 0;
        sentLateToOne += one && now >= TROUBLE_TO + 3_000 * MILLI ? 1 : 0;
        if (!shed) {
            answers.add(new Answer(now + SERVICE_NANOS, to));
            return;
        }
        to.ended();
        to.reported("", new Message.Report(0, PLACES, 0, 0, false, Message.DeeperLevel.NONE), now);
        if (noted) {
            to.shed(now);
        }
    }

    /**
     * An answer on its way.
     *
     * @param atNanos when it comes
     * @param from who sends it
     */
    private record Answer(long atNanos, Candidate from) {
        void arrive() {
            from.ended();
            from.reported("", new Message.Report(PLACES / 4, PLACES, 0, 0, false, Message.DeeperLevel.NONE), atNanos);
            from.succeeded(SERVICE_NANOS);
        }
    }
}
