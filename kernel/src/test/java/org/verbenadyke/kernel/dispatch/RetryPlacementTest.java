package org.verbenadyke.kernel.dispatch;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.routing.Candidate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/** Tests at which upstream a call is retried that its upstream lost. */
final class RetryPlacementTest extends DispatcherFixture {
    /** The upstream that lost a call may lose the retry as well. */
    @Test
    void retriesACallThatItsUpstreamLostAtAnotherOne() {
        retryElsewhere();
        send(true, 1);
        refuse(0, RunState.MAY_HAVE_RUN, RefusalReason.UPSTREAM_BROKEN);
        assertEquals(2, calls().size());
        assertNotEquals(calls().get(0).target(), calls().get(1).target());
        refuse(1, RunState.MAY_HAVE_RUN, RefusalReason.UPSTREAM_BROKEN);
        assertEquals(2, calls().size());
    }

    @Test
    void retriesALostCallAtTheSameUpstreamWhenAllOthersAreEjected() {
        retryElsewhere();
        send(true, 1);
        String first = calls().getFirst().target().upstream();
        for (Candidate c : router.candidates()) {
            for (int i = 0; !c.upstream().id().equals(first) && i < 5; i++) {
                c.failed(clock.nanos());
            }
        }
        refuse(0, RunState.MAY_HAVE_RUN, RefusalReason.UPSTREAM_BROKEN);
        assertEquals(first, calls().get(1).target().upstream());
    }

    @Test
    void retriesALostCallAtTheSameUpstreamUnlessSetOtherwise() {
        send(true, 1);
        refuse(0, RunState.MAY_HAVE_RUN, RefusalReason.UPSTREAM_BROKEN);
        assertEquals(calls().get(0).target(), calls().get(1).target());
    }

    /** A connection lost between nodes says nothing about the upstream. */
    @Test
    void retriesACallOfALostLinkAtTheSameUpstreamAlsoWhenSetOtherwise() {
        retryElsewhere();
        send(true, 1);
        loseLink();
        assertEquals(2, calls().size());
        assertEquals(calls().get(0).target(), calls().get(1).target());
    }

    @Test
    void retriesALostCallAtTheSameUpstreamWhenAllOthersWouldRefuseIt() {
        retryElsewhere();
        send(true, 1);
        String first = calls().getFirst().target().upstream();
        Message.Report full =
                new Message.Report(10, 10, Importance.RANKS, Importance.RANKS, false, Message.DeeperLevel.NONE);
        router.candidates().stream()
                .filter(c -> !c.upstream().id().equals(first))
                .forEach(c -> c.reported("GET /read", full, clock.nanos()));
        refuse(0, RunState.MAY_HAVE_RUN, RefusalReason.UPSTREAM_BROKEN);
        assertEquals(first, calls().get(1).target().upstream());
    }

    @Test
    void neverRetriesALostNonIdempotentCallElsewhere() {
        retryElsewhere();
        send(false, 5);
        refuse(0, RunState.MAY_HAVE_RUN, RefusalReason.UPSTREAM_BROKEN);
        assertEquals(1, calls().size());
    }

    /** Guards against losing calls twice at an upstream that breaks 40 % of its connections: 1,983 at the same one. */
    @Test
    void answersMoreCallsWhenLostOnesAreRetriedElsewhere() {
        retryElsewhere();
        assertEquals(2_000, answeredOf(2_000));
    }

    private int answeredOf(int requests) {
        int handled = 0;
        SplittableRandom broken = new SplittableRandom(5);
        for (int sent = 0; sent < requests; sent += 20) {
            for (int i = 0; i < 20; i++) {
                send(true, 1);
            }
            clock.advance(20 * MILLI);
            for (; handled < calls().size(); handled++) {
                if (calls().get(handled).target().upstream().equals("u1") && broken.nextDouble() < 0.4) {
                    refuse(handled, RunState.MAY_HAVE_RUN, RefusalReason.UPSTREAM_BROKEN);
                } else {
                    answer(handled, 200, "");
                }
            }
        }
        return (int) got.stream().filter("head 200"::equals).count();
    }

    private void retryElsewhere() {
        dispatcher = dispatcher(new DispatchSettings(0.1, 20, false, 0, false, false, true, 1_000));
    }
}
