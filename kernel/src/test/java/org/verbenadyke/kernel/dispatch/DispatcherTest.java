package org.verbenadyke.kernel.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.routing.Candidate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link Dispatcher} and the requests it sends. */
final class DispatcherTest extends DispatcherFixture {
    @Test
    void passesAWholeAnswerOn() {
        send(true, 2);
        answer(0, 200, "hello");
        assertEquals(List.of("head 200", "data hello", "end"), got);
    }

    @Test
    void neverGivesAnAnswerToAnotherRequest() {
        send(true, 2);
        send(true, 2);
        CallId unknown = new CallId(8, 1);
        dispatcher.received(link, new Message.Head(unknown, 200, List.of(), false, CALM));
        assertEquals(List.of(), got);
        assertEquals(1, counters.events(Event.MESSAGE_UNMATCHED));
    }

    @Test
    void dropsLateAndRepeatedParts() {
        send(true, 2);
        CallId id = calls().getFirst().id();
        dispatcher.received(link, new Message.Head(id, 200, List.of(), false, CALM));
        dispatcher.received(link, new Message.Head(id, 200, List.of(), false, CALM));
        dispatcher.received(link, new Message.Data(id, 0, "ab".getBytes()));
        dispatcher.received(link, new Message.Data(id, 0, "ab".getBytes()));
        dispatcher.received(link, new Message.End(id, 2));
        dispatcher.received(link, new Message.End(id, 2));
        assertEquals(List.of("head 200", "data ab", "end"), got);
    }

    @Test
    void neverPassesAShortAnswerOnAsWhole() {
        send(true, 2);
        CallId id = calls().getFirst().id();
        dispatcher.received(link, new Message.Head(id, 200, List.of(), false, CALM));
        dispatcher.received(link, new Message.Data(id, 0, "ab".getBytes()));
        dispatcher.received(link, new Message.End(id, 5));
        assertEquals(List.of("head 200", "data ab", "aborted"), got);
    }

    @Test
    void retriesAFailureOnAnotherUpstreamWithinTheBudget() {
        send(true, 1);
        answer(0, 500, "");
        assertEquals(2, calls().size());
        assertTrue(!calls().get(0).target().equals(calls().get(1).target()));
        answer(1, 500, "");
        assertEquals(2, calls().size());
        assertEquals(List.of("head 500", "end"), got);
    }

    @Test
    void passesOnAFailureWhoseRetriesAreExhausted() {
        send(true, 5);
        CallId id = calls().getFirst().id();
        dispatcher.received(link, new Message.Head(id, 502, List.of(), true, CALM));
        assertEquals(1, calls().size());
        assertEquals(List.of("head 502"), got);
    }

    @Test
    void neverRetriesANonIdempotentCall() {
        send(false, 5);
        answer(0, 500, "");
        assertEquals(1, calls().size());
    }

    /** An upload that may have run must not run a second time, though another upstream is free. */
    @Test
    void neverRepeatsANonIdempotentCallWhoseUpstreamIsKilled() {
        send(false, 5);
        refuse(0, RunState.MAY_HAVE_RUN, RefusalReason.UPSTREAM_ENDED);
        assertEquals(1, calls().size());
        assertEquals(List.of("refused MAY_HAVE_RUN UPSTREAM_ENDED 0"), got);
    }

    @Test
    void reroutesACallThatADrainingUpstreamRefused() {
        send(false, 0);
        refuse(0, RunState.NOT_RUN, RefusalReason.DRAINING);
        assertEquals(2, calls().size());
        answer(1, 200, "x");
        assertEquals(List.of("head 200", "data x", "end"), got);
    }

    @Test
    void inquiresOverANewConnectionAboutANonIdempotentCall() {
        send(false, 2);
        loseLink();
        assertEquals(1, calls().size());
        assertEquals(List.of(new Message.Inquire(calls().getFirst().id(), 1, 1)), link.sent());
        refuse(0, RunState.NOT_RUN, RefusalReason.SEALED);
        assertEquals(2, calls().size());
    }

    @Test
    void movesAnIdempotentRequestToANewConnectionOfTheSameUpstream() {
        send(true, 1);
        loseLink();
        assertEquals(2, calls().size());
        assertEquals(calls().get(0).target(), calls().get(1).target());
    }

    @Test
    void refusesAtTheDeadlineWithARetryAfter() {
        send(true, 2);
        clock.advance(1_000 * MILLI - 1);
        assertEquals(List.of(), got);
        clock.advance(1);
        assertEquals(1, got.size());
        assertTrue(got.getFirst().startsWith("refused MAY_HAVE_RUN DEADLINE"), got.toString());
        assertTrue(!got.getFirst().endsWith(" 0"), got.toString());
    }

    /** A caller that goes on reading would otherwise be sent an answer without an end for ever. */
    @Test
    void abortsAnAnswerThatGoesOnLongAfterItsDeadline() {
        send(false, 2);
        CallId id = calls().getFirst().id();
        dispatcher.received(link, new Message.Head(id, 200, List.of(), false, CALM));
        long bytes = 0;
        for (; !got.contains("aborted") && bytes < 10 * Attempt.MAX_LATE_NANOS / (100 * MILLI); bytes++) {
            dispatcher.received(link, new Message.Data(id, bytes, new byte[1]));
            clock.advance(100 * MILLI);
        }
        long tookMillis = bytes * 100;
        assertTrue(tookMillis >= Attempt.MAX_LATE_NANOS / MILLI, tookMillis + " ms");
        assertTrue(tookMillis <= Attempt.MAX_LATE_NANOS / MILLI + 2_000, tookMillis + " ms");
    }

    /** An answer whose rest never comes must not keep its caller waiting half a second beyond the deadline. */
    @Test
    void abortsAfterTheDeadlineAnAnswerThatHasBegunAndDoesNotGoOn() {
        send(false, 2);
        CallId id = calls().getFirst().id();
        dispatcher.received(link, new Message.Head(id, 200, List.of(), false, CALM));
        dispatcher.received(link, new Message.Data(id, 0, "ab".getBytes()));
        clock.advance(1_499 * MILLI);
        assertEquals(List.of("head 200", "data ab", "aborted"), got);
        assertEquals(0, dispatcher.inFlight());
    }

    /** The answer has to be there before the process exits. */
    @Test
    void aRequestInTheFirstHalfOfAStopEndsWithIt() {
        dispatcher.stopBy(clock.nanos() + 600 * MILLI);
        send(false, 2);
        long ttlMicros = calls().getFirst().ttlMicros();
        assertTrue(ttlMicros > 0 && ttlMicros <= 500_000, ttlMicros + " us");
        clock.advance(500 * MILLI);
        assertTrue(got.getFirst().startsWith("refused MAY_HAVE_RUN DEADLINE"), got.toString());
    }

    @Test
    void aRequestInTheSecondHalfOfAStopIsRefusedAsNotRun() {
        dispatcher.stopBy(clock.nanos() + 600 * MILLI);
        clock.advance(300 * MILLI);
        send(false, 2);
        assertEquals(List.of(), calls());
        assertTrue(got.getFirst().startsWith("refused NOT_RUN STOPPING"), got.toString());
    }

    @Test
    void aRequestWhoseDeadlineIsBeforeTheEndOfAStopIsSent() {
        dispatcher.stopBy(clock.nanos() + 10_000 * MILLI);
        clock.advance(8_000 * MILLI);
        send(false, 2);
        assertEquals(1, calls().size());
    }

    /** The upstream's answer is better than a retry that is cut. */
    @Test
    void nothingIsRetriedInTheSecondHalfOfAStop() {
        send(true, 2);
        dispatcher.stopBy(clock.nanos() + 600 * MILLI);
        clock.advance(300 * MILLI);
        answer(0, 500, "");
        assertEquals(1, calls().size());
        assertEquals(List.of("head 500", "end"), got);
    }

    @Test
    void aRequestThatNoUpstreamTookIsRefusedInTheSecondHalfOfAStop() {
        send(false, 2);
        dispatcher.stopBy(clock.nanos() + 600 * MILLI);
        clock.advance(300 * MILLI);
        refuse(0, RunState.NOT_RUN, RefusalReason.DRAINING);
        assertEquals(1, calls().size());
        assertTrue(got.getFirst().startsWith("refused NOT_RUN STOPPING"), got.toString());
    }

    /** A download that its caller is reading must not be cut at the deadline. */
    @Test
    void leavesAnAnswerThatGoesOnAfterTheDeadlineToItsCaller() {
        send(true, 2);
        CallId id = calls().getFirst().id();
        dispatcher.received(link, new Message.Head(id, 200, List.of(), false, CALM));
        for (int i = 0; i < 20; i++) {
            clock.advance(100 * MILLI);
            dispatcher.received(link, new Message.Data(id, i, "a".getBytes()));
        }
        dispatcher.received(link, new Message.End(id, 20));
        assertEquals("end", got.getLast());
    }

    @Test
    void refusesAtOnceWhenTheCalledPathShedsTheRank() {
        send(true, 2);
        Message.Report full =
                new Message.Report(10, 10, Importance.RANKS, Importance.RANKS, false, Message.DeeperLevel.NONE);
        for (int i = 0; i < 2; i++) {
            dispatcher.received(link, new Message.Refused(calls().get(i).id(), notRun(RefusalReason.SHED_LEVEL), full));
        }
        assertEquals(1, got.size());
        int before = calls().size();
        send(true, 2);
        assertEquals(before, calls().size());
        assertTrue(got.get(1).startsWith("refused NOT_RUN SHED_EARLY"), got.toString());
    }

    /** Guards against surplus of a team that is served before, or instead of, others of its importance. */
    @Test
    void refusesSurplusAtTheFirstLevelOfItsBand() {
        int level = Importance.NORMAL.ordinal() * RequestId.BUCKETS + 8;
        Message.Report first = new Message.Report(10, 10, level, level, false, Message.DeeperLevel.NONE);
        send(true, 0);
        for (int i = 0; i < calls().size(); i++) {
            CallId id = calls().get(i).id();
            dispatcher.received(link, new Message.Refused(id, notRun(RefusalReason.SHED_LEVEL), first));
        }
        int before = calls().size();
        surplus = true;
        send(true, 0);
        assertEquals(before, calls().size(), "surplus is not sent");
        surplus = false;
        send(true, 0);
        assertEquals(before + 1, calls().size(), "the same request is sent when it is no surplus");
    }

    /**
     * The refused call never reached the upstream, so sending the request elsewhere is no retry; another upstream may
     * admit its rank.
     */
    @Test
    void reroutesACallThatAnAdmissionLevelRefused() {
        send(false, 0);
        String first = calls().getFirst().target().upstream();
        Message.Report full =
                new Message.Report(10, 10, Importance.RANKS, Importance.RANKS, false, Message.DeeperLevel.NONE);
        dispatcher.received(link, new Message.Refused(calls().getFirst().id(), notRun(RefusalReason.SHED_LEVEL), full));
        assertEquals(2, calls().size());
        assertNotEquals(first, calls().get(1).target().upstream());
    }

    /** A call over the rate limit of one upstream never ran, so that its budget is not touched. */
    @Test
    void reroutesACallOverARateLimitToEachOtherUpstreamOnce() {
        send(false, 0);
        refuse(0, RunState.NOT_RUN, RefusalReason.UPSTREAM_LIMITED);
        assertEquals(2, calls().size());
        assertNotEquals(calls().get(0).target(), calls().get(1).target());
        dispatcher.received(
                link,
                new Message.Refused(calls().get(1).id(), Refusal.notRun(RefusalReason.UPSTREAM_LIMITED, 2_345), CALM));
        assertEquals(2, calls().size());
        assertEquals(List.of("refused NOT_RUN UPSTREAM_LIMITED 2345"), got);
    }

    /** An upload that one node has no memory for never ran; it must not spend the request's retries. */
    @Test
    void reroutesAnUploadThatDoesNotFitToEachOtherUpstreamOnce() {
        send(false, 0);
        refuse(0, RunState.NOT_RUN, RefusalReason.BODY_MEMORY);
        assertEquals(2, calls().size());
        assertNotEquals(calls().get(0).target(), calls().get(1).target());
        refuse(1, RunState.NOT_RUN, RefusalReason.BODY_MEMORY);
        assertEquals(2, calls().size());
        assertEquals(1, counters.retries(RetryReason.REROUTED));
        assertTrue(got.getFirst().startsWith("refused NOT_RUN BODY_MEMORY"), got::toString);
    }

    @Test
    void avoidsAnUpstreamThatShedsOnItsOwn() {
        send(true, 0);
        String shedding = calls().getFirst().target().upstream();
        refuse(0, RunState.NOT_RUN, RefusalReason.UPSTREAM_REFUSED);
        Candidate candidate = router.candidates().stream()
                .filter(c -> c.upstream().id().equals(shedding))
                .findFirst()
                .orElseThrow();
        Candidate unseen = Candidate.of(candidate.upstream(), true);
        unseen.reported("", CALM, clock.nanos());
        assertTrue(candidate.expectedLatencyNanos(MILLI) > unseen.expectedLatencyNanos(MILLI));
    }
}
