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
 * Simulates load on three upstreams, one of which sheds almost half of its calls for some seconds. It sheds
 * immediately, so that it looks idle.
 */
final class SheddingUpstreamTest {
    private static final long MILLI = 1_000_000L;
    private static final long SERVICE_NANOS = 20 * MILLI;
    private static final long TROUBLE_FROM = 2_000 * MILLI;
    private static final long TROUBLE_TO = 8_000 * MILLI;
    private static final long END = 14_000 * MILLI;
    private static final double SHED_SHARE = 0.45;
    private static final int SLOTS = 40;
    private static final Location LOCATION = new Location("r", "d");
    private static final Endpoint AT = new Endpoint("127.0.0.1", 1);

    private final SplittableRandom random = new SplittableRandom(5);
    private final Router router =
            Router.create("me", LOCATION, 8, new ExpectedFinishProvider().create(), () -> random, true);
    private final PriorityQueue<Answer> answers = new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
    private int sentInTrouble;
    private int shedInTrouble;
    private int sentLate;
    private int sentLateToShedding;

    @Test
    void avoidsASheddingUpstreamUntilItRecovers() {
        replay(true);
        assertTrue(shedInTrouble < 0.06 * sentInTrouble, shedInTrouble + " of " + sentInTrouble + " shed");
        assertTrue(sentLateToShedding > 0.2 * sentLate, sentLateToShedding + " of " + sentLate + " after the trouble");
    }

    /** Choosing by load and speed alone treats a shedding upstream as an idle one. */
    @Test
    void keepsSendingToItWhenShedsAreIgnored() {
        replay(false);
        assertTrue(shedInTrouble > 0.12 * sentInTrouble, shedInTrouble + " of " + sentInTrouble + " shed");
    }

    private void replay(boolean recordSheds) {
        List<Upstream> upstreams = new ArrayList<>();
        for (String id : List.of("a", "b", "c")) {
            upstreams.add(new Upstream(id, "s", AT, LOCATION));
        }
        router.update(upstreams);
        for (long now = 0; now < END; now += MILLI) {
            while (!answers.isEmpty() && answers.peek().atNanos() <= now) {
                answers.poll().arrive();
            }
            send(now, recordSheds);
        }
    }

    private void send(long now, boolean recordSheds) {
        Choice choice = router.route(new RouteQuery("s", "", 0, "", Set.of(), 0), now);
        Candidate to = ((Choice.Selected) choice).candidate();
        boolean shedding = to.upstream().id().equals("a");
        boolean trouble = now >= TROUBLE_FROM && now < TROUBLE_TO;
        boolean shed = shedding && trouble && random.nextDouble() < SHED_SHARE;
        to.sent();
        sentInTrouble += trouble ? 1 : 0;
        shedInTrouble += shed ? 1 : 0;
        sentLate += now >= TROUBLE_TO + 3_000 * MILLI ? 1 : 0;
        sentLateToShedding += shedding && now >= TROUBLE_TO + 3_000 * MILLI ? 1 : 0;
        if (!shed) {
            answers.add(new Answer(now + SERVICE_NANOS, to));
            return;
        }
        to.recordCallEnd();
        to.reported("", new Message.Report(0, SLOTS, 0, 0, false, Message.DeeperLevel.NONE), now);
        if (recordSheds) {
            to.shed(now);
        }
    }

    /**
     * An answer on its way.
     *
     * @param atNanos when it arrives
     * @param from the upstream that sends it
     */
    private record Answer(long atNanos, Candidate from) {
        void arrive() {
            from.recordCallEnd();
            from.reported("", new Message.Report(SLOTS / 4, SLOTS, 0, 0, false, Message.DeeperLevel.NONE), atNanos);
            from.succeeded(SERVICE_NANOS);
        }
    }
}
