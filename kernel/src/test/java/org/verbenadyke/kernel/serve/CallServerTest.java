package org.verbenadyke.kernel.serve;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.cost.Usage;
import org.verbenadyke.kernel.ledger.Breach;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;
import org.verbenadyke.kernel.message.Repetition;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.route.RequestKind;
import org.verbenadyke.kernel.route.RequestLimits;
import org.verbenadyke.kernel.route.Route;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.routing.ServiceLevels;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link CallServer} and the calls it serves. */
final class CallServerTest {
    private static final long MILLI = 1_000_000L;
    private static final long TTL_MICROS = 1_000_000L;
    private static final int BODY_BYTES = 1024 * 1024;
    private static final int GC_RUNS = 50;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Counters counters = Counters.create();
    private final List<Breach> breaches = new ArrayList<>();
    private final List<UpstreamPort.Listener> handed = new ArrayList<>();
    private final List<String> cancelled = new ArrayList<>();
    private final RecordingLink link = new RecordingLink();
    private final BodyMemory memory =
            BodyMemory.of(2 * BODY_BYTES, clock, () -> Optional.of(uploads()), () -> new SplittableRandom(1));
    private final CallServer server = CallServer.create(
            new CallServer.Parts(
                    1,
                    clock,
                    () -> new SplittableRandom(1),
                    counters,
                    Ledger.reportingTo(breaches::add),
                    ServiceLevels.empty(),
                    KeyClaims.unshared(),
                    DecisionLog.none(),
                    Quarantine.standalone(clock),
                    memory),
            ServeSettings.standard());
    private final LocalUpstream local = LocalUpstream.of(
            "u1",
            "s",
            this::start,
            Gate.of(GateSettings.standard(), FixedLimit.of(1)),
            KeyTable.withRetention(60_000 * MILLI),
            clock);
    private String token = "";
    private long sequence;
    private boolean usageRequested;

    CallServerTest() {
        clock.advance(MILLI);
        server.attach(local);
    }

    @Test
    void handsOverAndAnswers() {
        server.received(link, call(true, ""));
        answer(0, 200, "hi");
        assertInstanceOf(Message.Head.class, link.sent().get(0));
        assertEquals(2, ((Message.End) link.sent().getLast()).length());
        assertEquals(0, server.unfinished());
    }

    @Test
    void aRepeatedCallRunsOnce() {
        Message.Call call = call(false, "");
        server.received(link, call);
        server.received(link, call);
        assertEquals(1, handed.size());
        assertEquals(1, counters.events(Event.CALL_REPEATED));
    }

    @Test
    void aDrainingUpstreamGetsNoCalls() {
        local.drain(DrainCause.LEAVING);
        server.received(link, call(true, ""));
        assertEquals(0, handed.size());
        assertEquals(RefusalReason.DRAINING, lastRefusal().refusal().reason());
        assertEquals(RunState.NOT_RUN, lastRefusal().refusal().state());
    }

    @Test
    void refusesACallThatWasDelayedPastItsTimeToLive() {
        Message.Call call = call(false, "");
        clock.advance(30_000 * MILLI);
        server.received(link, call);
        assertEquals(0, handed.size());
        assertEquals(RefusalReason.FENCED, lastRefusal().refusal().reason());
    }

    @Test
    void checksTheClockAgainRightBeforeTheHandOver() {
        server.received(link, call(true, ""));
        server.received(link, call(false, ""));
        clock.jump(30_000 * MILLI);
        answer(0, 200, "");
        assertEquals(1, handed.size());
        assertEquals(RunState.NOT_RUN, lastRefusal().refusal().state());
    }

    @Test
    void sealsAnAttemptThatNeverArrived() {
        Message.Call late = call(false, "");
        server.received(link, new Message.Inquire(late.id(), 1, late.receiverClock()));
        assertEquals(RefusalReason.SEALED, lastRefusal().refusal().reason());
        server.received(link, late);
        assertEquals(0, handed.size());
    }

    @Test
    void repeatsTheStoredAnswerOverANewConnection() {
        Message.Call call = call(false, "");
        server.received(link, call);
        server.linkLost(link);
        answer(0, 201, "filed");
        RecordingLink fresh = new RecordingLink();
        server.received(fresh, new Message.Inquire(call.id(), 1, call.receiverClock()));
        assertEquals(201, ((Message.Head) fresh.sent().get(0)).status());
        assertEquals(1, handed.size());
    }

    @Test
    void aPendingRetryRequestIsRepeatedOverANewConnection() {
        Message.Call call = call(false, "");
        server.received(link, call);
        CallCounts calls = CallCounts.of("s", 3);
        server.context(token).orElseThrow().budget().spend(calls, decision -> {});
        server.linkLost(link);
        RecordingLink fresh = new RecordingLink();
        server.received(fresh, new Message.Inquire(call.id(), 1, call.receiverClock()));
        assertEquals(List.of(new Message.Spend(call.id(), 1, calls)), fresh.sent());
    }

    @Test
    void aResendUnderTheSameKeyGetsTheFirstAnswer() {
        server.received(link, call(false, "k"));
        server.received(link, call(false, "k"));
        answer(0, 201, "filed");
        long heads = link.sent().stream().filter(Message.Head.class::isInstance).count();
        assertEquals(1, handed.size());
        assertEquals(2, heads);
    }

    @Test
    void reportsMayHaveRunWhenTheUpstreamBreaksTheConnection() {
        server.received(link, call(false, "k"));
        handed.getFirst().broken();
        assertEquals(RunState.MAY_HAVE_RUN, lastRefusal().refusal().state());
        server.received(link, call(false, "k"));
        assertEquals(1, handed.size());
        assertEquals(RunState.MAY_HAVE_RUN, lastRefusal().refusal().state());
    }

    @Test
    void reportsNotRunWhenTheUpstreamCannotBeReached() {
        server.received(link, call(false, "k"));
        handed.getFirst().unreachable();
        assertEquals(RunState.NOT_RUN, lastRefusal().refusal().state());
        server.received(link, call(false, "k"));
        assertEquals(2, handed.size());
        assertEquals(List.of(), breaches);
    }

    @Test
    void cancelsAnIdempotentCallThatNobodyWaitsFor() {
        Message.Call call = call(true, "");
        server.received(link, call);
        server.received(link, new Message.Cancel(call.id()));
        assertEquals(1, cancelled.size());
        assertEquals(0, local.gate().inFlight());
    }

    @Test
    void completesANonIdempotentCallWhoseCallerLeaves() {
        Message.Call call = call(false, "k");
        server.received(link, call);
        server.received(link, new Message.Cancel(call.id()));
        assertEquals(0, cancelled.size());
    }

    @Test
    void freesTheSlotOfACallThatIsNeverAnswered() {
        server.received(link, call(true, ""));
        clock.advance(1_000 * MILLI);
        assertEquals(0, local.gate().inFlight());
        assertEquals(RefusalReason.DEADLINE, lastRefusal().refusal().reason());
    }

    @Test
    void aNestedCallFindsItsContextUntilTheServedCallEnds() {
        server.received(link, call(true, ""));
        assertTrue(server.context(token).isPresent());
        answer(0, 200, "");
        assertTrue(server.context(token).isEmpty());
    }

    @Test
    void reportsItsSlotTimeOnlyIfRequested() {
        server.received(link, call(true, ""));
        clock.advance(7 * MILLI);
        answer(0, 200, "");
        assertEquals(Usage.NONE, lastUsage(link));
        usageRequested = true;
        server.received(link, call(true, ""));
        clock.advance(7 * MILLI);
        answer(1, 200, "");
        assertEquals(Usage.of("s", 7_000), lastUsage(link));
    }

    @Test
    void reportsNoSlotTimeOfACallThatOnlyWaited() {
        usageRequested = true;
        server.received(link, call(false, ""));
        server.received(link, call(true, ""));
        Message.Cancel cancel = new Message.Cancel(new CallId(5, sequence));
        clock.advance(9 * MILLI);
        server.received(link, cancel);
        assertEquals(RunState.NOT_RUN, lastRefusal().refusal().state());
        assertEquals(Usage.NONE, lastUsage(link));
    }

    /** The time until the calling node inquires must not count as slot time. */
    @Test
    void reportsTheSameSlotTimeOverANewConnection() {
        usageRequested = true;
        for (Runnable ending : List.<Runnable>of(
                () -> answer(0, 201, ""), () -> handed.getLast().broken())) {
            Message.Call call = call(false, "");
            server.received(link, call);
            clock.advance(9 * MILLI);
            server.linkLost(link);
            ending.run();
            clock.advance(50 * MILLI);
            RecordingLink fresh = new RecordingLink();
            server.received(fresh, new Message.Inquire(call.id(), 1, call.receiverClock()));
            assertEquals(Usage.of("s", 9_000), lastUsage(fresh));
        }
    }

    private static Usage lastUsage(RecordingLink link) {
        return link.sent().stream()
                .flatMap(m -> switch (m) {
                    case Message.Head head -> Stream.of(head.report().usage());
                    case Message.Refused refused -> Stream.of(refused.report().usage());
                    default -> Stream.empty();
                })
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    @Test
    void refusesACallWhoseBodyDoesNotFitAsNotRun() {
        upload();
        upload();
        upload();
        assertEquals(2 * BODY_BYTES, memory.callBytes());
        assertEquals(RefusalReason.BODY_MEMORY, lastRefusal().refusal().reason());
        assertEquals(RunState.NOT_RUN, lastRefusal().refusal().state());
        assertEquals(2, server.unfinished());
    }

    @Test
    void releasesTheMemoryOfCallsThatAreShedLoseTheirLinkOrBreakOff() {
        upload();
        upload();
        server.linkLost(link);
        assertEquals(BODY_BYTES, memory.callBytes());
        upload();
        local.drain(DrainCause.LEAVING);
        assertEquals(BODY_BYTES, memory.callBytes());
        handed.getFirst().broken();
        handed.getFirst().broken();
        assertEquals(0, memory.callBytes());
    }

    /** An upload goes on at the upstream after its deadline, and its body with it. */
    @Test
    void holdsTheBodyOfARunningUploadPastItsDeadline() {
        upload();
        clock.advance(2_000 * MILLI);
        assertEquals(BODY_BYTES, memory.callBytes());
        clock.advance(120_000 * MILLI);
        assertEquals(0, memory.callBytes());
    }

    /** Finished calls are retained for inquiries; with their bodies they would fill the heap uncounted. */
    @Test
    void dropsTheBodyOfAnAnsweredCall() throws InterruptedException {
        WeakReference<byte[]> body = upload();
        answer(0, 200, "");
        assertEquals(0, memory.callBytes());
        for (int i = 0; i < GC_RUNS && body.get() != null; i++) {
            System.gc();
            Thread.sleep(1);
        }
        assertNull(body.get());
    }

    private UpstreamPort.Exchange start(UpstreamPort.HandOver handOver, UpstreamPort.Listener listener) {
        handed.add(listener);
        token = handOver.contextToken();
        return new UpstreamPort.Exchange() {
            @Override
            public void request() {
                // Each test sends the answer itself.
            }

            @Override
            public void cancel() {
                cancelled.add(handOver.contextToken());
            }
        };
    }

    private Message.Call call(boolean idempotent, String key) {
        return call(idempotent, key, new byte[0]);
    }

    /** Receives an upload, and returns its body. */
    private WeakReference<byte[]> upload() {
        byte[] body = new byte[BODY_BYTES];
        server.received(link, call(false, "", body));
        return new WeakReference<>(body);
    }

    private static RoutePlan uploads() {
        Route route = new Route("up", "h", "/", List.of(), RequestKind.UPLOAD, 2_000 * MILLI, 800 * MILLI, 2, 1, true);
        return RoutePlan.of(1, List.of(route), List.of(), RequestLimits.standard());
    }

    private Message.Call call(boolean idempotent, String key, byte[] body) {
        return new Message.Call(
                new CallId(5, ++sequence),
                new RequestId(5, sequence),
                new Message.Target("s", "u1"),
                Importance.NORMAL,
                0,
                TTL_MICROS,
                TTL_MICROS / 2,
                clock.nanos(),
                idempotent,
                key,
                Message.Stated.NOTHING,
                usageRequested,
                Repetition.NONE,
                new Message.Content(idempotent ? "GET" : "POST", "/p", List.of(), body));
    }

    private void answer(int call, int status, String body) {
        UpstreamPort.Listener l = handed.get(call);
        l.head(status, List.of());
        if (!body.isEmpty()) {
            l.data(body.getBytes());
        }
        l.end();
    }

    private Message.Refused lastRefusal() {
        return link.sent().stream()
                .filter(Message.Refused.class::isInstance)
                .map(Message.Refused.class::cast)
                .reduce((a, b) -> b)
                .orElseThrow();
    }
}
