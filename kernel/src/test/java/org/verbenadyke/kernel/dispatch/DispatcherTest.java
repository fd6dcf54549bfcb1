package org.verbenadyke.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.budget.RootBudget;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RecordingSink;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Candidate;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.routing.Router;
import org.verbenadyke.kernel.routing.TwoChoicesProvider;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link Dispatcher} and the requests it sends. */
final class DispatcherTest {
    private static final long MILLI = 1_000_000L;
    private static final Location PLACE = new Location("r", "d");
    private static final Message.Report CALM = new Message.Report(0, 10, 0, 0, false, Message.DeeperLevel.NONE);

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Counters counters = Counters.create();
    private final List<String> got = new ArrayList<>();
    private boolean surplus;
    private final SplittableRandom random = new SplittableRandom(1);
    private final Router router = Router.create("me", PLACE, 8, new TwoChoicesProvider().create(), () -> random, true);
    private final List<RecordingLink> links = new ArrayList<>(List.of(new RecordingLink()));
    private RecordingLink link = links.getFirst();
    private Dispatcher dispatcher = dispatcher(DispatchSettings.standard());

    DispatcherTest() {
        router.update(List.of(
                new Upstream("u1", "s", new Endpoint("10.0.0.1", 1), PLACE),
                new Upstream("u2", "s", new Endpoint("10.0.0.2", 1), PLACE)));
    }

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
        RecordingLink silent = link;
        renewLink();
        silent.close();
        dispatcher.linkLost(silent);
        assertEquals(1, calls().size());
        assertEquals(List.of(new Message.Inquire(calls().getFirst().id(), 1, 1)), link.sent());
        refuse(0, RunState.NOT_RUN, RefusalReason.SEALED);
        assertEquals(2, calls().size());
    }

    @Test
    void movesAnIdempotentRequestToANewConnectionOfTheSameUpstream() {
        send(true, 1);
        RecordingLink silent = link;
        renewLink();
        silent.close();
        dispatcher.linkLost(silent);
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
        movesAnIdempotentRequestToANewConnectionOfTheSameUpstream();
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

    private Dispatcher dispatcher(DispatchSettings settings) {
        return Dispatcher.create(
                new Dispatcher.Parts(
                        9,
                        clock,
                        router,
                        (endpoint, callback) -> callback.accept(Optional.of(link)),
                        () -> random,
                        counters,
                        Ledger.reportingTo(b -> got.add("breach " + b)),
                        DecisionLog.none(),
                        Quarantine.standalone(clock)),
                settings);
    }

    private void renewLink() {
        link = new RecordingLink();
        links.add(link);
    }

    private List<Message.Call> calls() {
        return links.stream().flatMap(l -> l.calls().stream()).toList();
    }

    private void send(boolean idempotent, int budget) {
        Message.Content content = new Message.Content(idempotent ? "GET" : "POST", "/read/1", List.of(), new byte[0]);
        Request request = new Request(
                new RequestId(9, calls().size() + 1),
                "",
                "s",
                content,
                Importance.NORMAL,
                0,
                clock.nanos() + 1_000 * MILLI,
                clock.nanos() + 500 * MILLI,
                idempotent,
                "",
                false,
                surplus,
                RootBudget.of(budget),
                ChainObserver.none());
        dispatcher.dispatch(request, new RecordingSink(got));
    }

    private void answer(int call, int status, String body) {
        CallId id = calls().get(call).id();
        dispatcher.received(link, new Message.Head(id, status, List.of(), false, CALM));
        if (!body.isEmpty()) {
            dispatcher.received(link, new Message.Data(id, 0, body.getBytes()));
        }
        dispatcher.received(link, new Message.End(id, body.length()));
    }

    private void refuse(int call, RunState state, RefusalReason reason) {
        dispatcher.received(link, new Message.Refused(calls().get(call).id(), new Refusal(state, reason, 0), CALM));
    }

    private static Refusal notRun(RefusalReason reason) {
        return Refusal.notRun(reason, 1);
    }
}
