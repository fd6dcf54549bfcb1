package org.verbenadyke.kernel.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;
import org.verbenadyke.kernel.message.Repetition;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.ServiceLevels;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.kernel.trace.DecisionLog;

/** A server of calls whose upstreams have one slot, and whose exchanges the tests answer themselves. */
class OneSlotFixture {
    private static final long MILLI = 1_000_000L;
    private static final long TTL_MICROS = 1_000_000L;

    final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    final List<UpstreamPort.Listener> handed = new ArrayList<>();
    final RecordingLink link = new RecordingLink();
    final CallServer server = CallServer.create(
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

    /** The parts of answers that were requested. */
    int requestedParts;

    /** Whether a test expects that a filing is cancelled, as its answer has no end. */
    boolean expectingCancellation;

    int cancelledFilings;

    OneSlotFixture() {
        clock.advance(MILLI);
        server.attach(upstream());
    }

    /** Creates an upstream with one slot. */
    LocalUpstream upstream() {
        return LocalUpstream.of(
                "u1",
                "s",
                (handOver, listener) -> {
                    handed.add(listener);
                    return new CountingExchange();
                },
                Gate.of(GateSettings.standard(), FixedLimit.of(1)),
                KeyTable.withRetention(60_000 * MILLI),
                clock);
    }

    /** Creates a filing. */
    Message.Call call(long sequence) {
        return call(sequence, "u1");
    }

    /** Creates a filing for an upstream. */
    Message.Call call(long sequence, String upstream) {
        return new Message.Call(
                new CallId(5, sequence),
                new RequestId(5, sequence),
                new Message.Target("s", upstream),
                Importance.NORMAL,
                0,
                TTL_MICROS,
                TTL_MICROS / 2,
                clock.nanos(),
                false,
                "",
                Message.Stated.NOTHING,
                false,
                Repetition.NONE,
                new Message.Content("POST", "/p", List.of(), new byte[0]));
    }

    /** Counts the requested parts; a filing whose answer may still end is never cancelled. */
    private final class CountingExchange implements UpstreamPort.Exchange {
        @Override
        public void request() {
            requestedParts++;
        }

        @Override
        public void cancel() {
            if (!expectingCancellation) {
                throw new IllegalStateException("the filing is cancelled");
            }
            cancelledFilings++;
        }
    }
}
