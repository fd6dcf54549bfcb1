package org.verbenadyke.kernel.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.ServiceLevels;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against calls that wait for an upstream and reach it after it was given up. */
final class DetachedUpstreamTest {
    private static final long MILLI = 1_000_000L;
    private static final long TTL_MICROS = 1_000_000L;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<UpstreamPort.Listener> handed = new ArrayList<>();
    private final RecordingLink link = new RecordingLink();
    private final CallServer server = CallServer.create(
            new CallServer.Parts(
                    1,
                    clock,
                    () -> new SplittableRandom(1),
                    Counters.create(),
                    Ledger.disabled(),
                    ServiceLevels.empty(),
                    KeyClaims.unshared(),
                    DecisionLog.none(),
                    Quarantine.standalone(clock),
                    BodyMemory.unlimited(clock)),
            ServeSettings.standard());

    DetachedUpstreamTest() {
        clock.advance(MILLI);
        server.attach(upstream());
        server.received(link, call(1));
        server.received(link, call(2));
    }

    @Test
    void aWaitingCallDoesNotReachAnUpstreamThatFellSilent() {
        server.detach();
        assertWaitingCallIsRefusedAsNotRun();
    }

    @Test
    void aWaitingCallDoesNotReachAnUpstreamThatWasReplaced() {
        server.attach(upstream());
        assertWaitingCallIsRefusedAsNotRun();
    }

    @Test
    void aWaitingCallReachesAnUpstreamThatOnlyGotAnotherId() {
        server.attach(server.upstream().orElseThrow().withId("u1.2"));
        handed.getFirst().head(200, List.of());
        handed.getFirst().end();
        assertEquals(2, handed.size());
    }

    private void assertWaitingCallIsRefusedAsNotRun() {
        Refusal refusal = ((Message.Refused) link.sent().getFirst()).refusal();
        assertEquals(RunState.NOT_RUN, refusal.state());
        assertEquals(RefusalReason.DRAINING, refusal.reason());
        handed.getFirst().head(200, List.of());
        handed.getFirst().end();
        assertEquals(1, handed.size());
    }

    private LocalUpstream upstream() {
        return LocalUpstream.of(
                "u1",
                "s",
                (handOver, listener) -> {
                    handed.add(listener);
                    return new SilentExchange();
                },
                Gate.of(GateSettings.standard(), FixedLimit.of(1)),
                KeyTable.withRetention(60_000 * MILLI),
                clock);
    }

    private Message.Call call(long sequence) {
        return new Message.Call(
                new CallId(5, sequence),
                new RequestId(5, sequence),
                new Message.Target("s", "u1"),
                Importance.NORMAL,
                0,
                TTL_MICROS,
                TTL_MICROS / 2,
                clock.nanos(),
                false,
                "",
                Message.Stated.NOTHING,
                false,
                new Message.Content("POST", "/p", List.of(), new byte[0]));
    }

    /** An exchange whose answer the test sends itself. */
    private static final class SilentExchange implements UpstreamPort.Exchange {
        @Override
        public void request() {
            // The test sends the answer.
        }

        @Override
        public void cancel() {
            // The test ends the call.
        }
    }
}
