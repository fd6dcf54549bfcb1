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
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a streamed answer that has lost its caller and keeps the upstream's slot for good. */
final class AbandonedAnswerTest {
    private static final long MILLI = 1_000_000L;
    private static final long TTL_MICROS = 1_000_000L;

    /** More than is stored, and more than the caller has granted. */
    private static final int PART_BYTES = 256 * 1024;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<UpstreamPort.Listener> handed = new ArrayList<>();
    private final RecordingLink link = new RecordingLink();
    private final RecordingLink fresh = new RecordingLink();
    private int requestedParts;
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
    private final LocalUpstream local = LocalUpstream.of(
            "u1",
            "s",
            (handOver, listener) -> {
                handed.add(listener);
                return new Exchange();
            },
            Gate.of(GateSettings.standard(), FixedLimit.of(1)),
            KeyTable.withRetention(60_000 * MILLI),
            clock);
    private final CallId id = new CallId(5, 1);

    AbandonedAnswerTest() {
        clock.advance(MILLI);
        server.attach(local);
        server.received(link, call());
        handed.getFirst().head(200, List.of());
    }

    @Test
    void aCallerThatLeavesFreesTheSlotOnceTheUpstreamIsDone() {
        exhaustCredit();
        server.received(link, new Message.Cancel(id));
        assertRestIsReceived();
    }

    @Test
    void aCallerThatLeavesBeforeTheAnswerIsStreamedFreesTheSlotOnceTheUpstreamIsDone() {
        server.received(link, new Message.Cancel(id));
        exhaustCredit();
        assertRestIsReceived();
        assertTrue(link.sent().isEmpty(), link.sent().toString());
    }

    @Test
    void aLostLinkFreesTheSlotOnceTheUpstreamIsDone() {
        exhaustCredit();
        link.close();
        server.linkLost(link);
        assertRestIsReceived();
    }

    /** The data in the buffers of the lost link is gone, so that the answer can't go on over a new one. */
    @Test
    void anInquiryAboutAStreamedAnswerGetsAnEndAtOnce() {
        exhaustCredit();
        server.received(fresh, new Message.Inquire(id, 1, clock.nanos()));
        assertEquals(
                RunState.RAN,
                ((Message.Refused) fresh.sent().getFirst()).refusal().state());
        server.linkLost(link);
        assertRestIsReceived();
        assertEquals(1, fresh.sent().size());
    }

    private void exhaustCredit() {
        requestedParts = 0;
        handed.getFirst().data(new byte[PART_BYTES]);
    }

    private void assertRestIsReceived() {
        assertTrue(requestedParts > 0);
        int sent = link.sent().size();
        for (int i = 0; i < 3; i++) {
            requestedParts = 0;
            handed.getFirst().data(new byte[PART_BYTES]);
            assertEquals(1, requestedParts);
        }
        handed.getFirst().end();
        assertEquals(0, local.gate().inFlight());
        assertEquals(sent, link.sent().size());
    }

    private Message.Call call() {
        return new Message.Call(
                id,
                new RequestId(5, 1),
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

    /** Counts the parts that are requested after the credit is used up. */
    private final class Exchange implements UpstreamPort.Exchange {
        @Override
        public void request() {
            requestedParts++;
        }

        @Override
        public void cancel() {
            throw new IllegalStateException("the filing is cancelled");
        }
    }
}
