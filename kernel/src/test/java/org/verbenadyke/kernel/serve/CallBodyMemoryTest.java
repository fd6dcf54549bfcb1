package org.verbenadyke.kernel.serve;

import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

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
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;
import org.verbenadyke.kernel.metrics.Counters;
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
import static org.junit.jupiter.api.Assertions.assertNull;

/** Tests how the calls beside an upstream hold and release memory for their bodies. */
final class CallBodyMemoryTest {
    private static final long MILLI = 1_000_000L;
    private static final int BODY_BYTES = (int) BodyMemory.MIN_BYTES / 2;
    private static final int GC_RUNS = 50;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final Counters counters = Counters.create();
    private final List<UpstreamPort.Listener> handed = new ArrayList<>();
    private final RecordingLink link = new RecordingLink();
    private final BodyMemory memory =
            BodyMemory.of(BodyMemory.MIN_BYTES, clock, () -> Optional.of(plan()), () -> new SplittableRandom(1));
    private final CallServer server = CallServer.create(
            new CallServer.Parts(
                    1,
                    clock,
                    () -> new SplittableRandom(1),
                    counters,
                    Ledger.disabled(),
                    ServiceLevels.empty(),
                    KeyClaims.unshared(),
                    DecisionLog.none(),
                    Quarantine.standalone(clock),
                    memory),
            ServeSettings.standard());
    private final LocalUpstream local = LocalUpstream.of(
            "u1",
            "s",
            (handOver, listener) -> {
                handed.add(listener);
                return new SilentExchange();
            },
            Gate.of(GateSettings.standard(), FixedLimit.of(1)),
            KeyTable.withRetention(60_000 * MILLI),
            clock);
    private long sequence;

    CallBodyMemoryTest() {
        clock.advance(MILLI);
        server.attach(local);
    }

    @Test
    void refusesACallThatDoesNotFitAsNotRun() {
        receive();
        receive();
        receive();
        assertEquals(2 * BODY_BYTES, memory.callBytes());
        assertEquals(1, counters.refusals(RunState.NOT_RUN, RefusalReason.BODY_MEMORY));
        assertEquals(2, server.unfinished());
    }

    @Test
    void releasesWhenTheAnswerIsComplete() {
        receive();
        handed.getFirst().head(200, List.of());
        assertEquals(BODY_BYTES, memory.callBytes());
        handed.getFirst().end();
        assertEquals(0, memory.callBytes());
    }

    @Test
    void releasesACallThatIsShedOrLosesItsLinkWhileItWaits() {
        receive();
        receive();
        server.linkLost(link);
        assertEquals(BODY_BYTES, memory.callBytes());
        receive();
        local.drain(true);
        assertEquals(BODY_BYTES, memory.callBytes());
        handed.getFirst().broken();
        handed.getFirst().broken();
        assertEquals(0, memory.callBytes());
    }

    /** An upload goes on at the upstream after its deadline, and its body with it. */
    @Test
    void holdsTheBodyOfARunningUploadPastItsDeadline() {
        receive();
        clock.advance(2_000 * MILLI);
        assertEquals(BODY_BYTES, memory.callBytes());
        clock.advance(120_000 * MILLI);
        assertEquals(0, memory.callBytes());
    }

    /** Finished calls are retained for inquiries; with their bodies they would fill the heap uncounted. */
    @Test
    void dropsTheBodyOfAFinishedCall() throws InterruptedException {
        WeakReference<byte[]> body = receive();
        handed.getFirst().head(200, List.of());
        handed.getFirst().end();
        for (int i = 0; i < GC_RUNS && body.get() != null; i++) {
            System.gc();
            Thread.sleep(1);
        }
        assertNull(body.get());
    }

    private WeakReference<byte[]> receive() {
        byte[] body = new byte[BODY_BYTES];
        server.received(
                link,
                new Message.Call(
                        new CallId(5, ++sequence),
                        new RequestId(5, sequence),
                        new Message.Target("s", "u1"),
                        Importance.NORMAL,
                        0,
                        1_000_000L,
                        500_000L,
                        clock.nanos(),
                        false,
                        "",
                        Message.Stated.NOTHING,
                        false,
                        new Message.Content("POST", "/p", List.of(), body)));
        return new WeakReference<>(body);
    }

    private static RoutePlan plan() {
        Route upload = new Route("up", "h", "/", List.of(), RequestKind.UPLOAD, 2_000 * MILLI, 800 * MILLI, 2, 1, true);
        return RoutePlan.of(1, List.of(upload), List.of(), RequestLimits.standard());
    }

    /** An exchange whose answer the test sends. */
    private static final class SilentExchange implements UpstreamPort.Exchange {
        @Override
        public void request() {
            // The test sends the answer.
        }

        @Override
        public void cancel() {
            // The test sends no answer any more.
        }
    }
}
