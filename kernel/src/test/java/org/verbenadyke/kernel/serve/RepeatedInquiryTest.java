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

/**
 * Guards against a changed execution status: a node that knows that an attempt did not run must report so again when
 * its first reply was lost.
 */
final class RepeatedInquiryTest {
    private static final long MILLI = 1_000_000L;
    private static final long TTL_MICROS = 1_000_000L;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<UpstreamPort.Listener> handed = new ArrayList<>();
    private final RecordingLink link = new RecordingLink();
    private final RecordingLink fresh = new RecordingLink();
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
                return null;
            },
            Gate.of(GateSettings.standard(), FixedLimit.of(1)),
            KeyTable.withRetention(60_000 * MILLI),
            clock);

    RepeatedInquiryTest() {
        clock.advance(MILLI);
        server.attach(local);
    }

    @Test
    void aSealIsReportedAgainWhenItsAnswerWasLost() {
        Message.Call late = call("u1");
        server.received(link, inquiry(late));
        server.linkLost(link);
        server.received(fresh, inquiry(late));
        assertEquals(RunState.NOT_RUN, reportedState());
        assertEquals(List.of(), handed);
    }

    @Test
    void aRefusalBeforeQueueingIsReportedAgainWhenItWasLost() {
        local.drain(true);
        Message.Call refused = call("u1");
        server.received(link, refused);
        server.linkLost(link);
        server.received(fresh, inquiry(refused));
        assertEquals(RunState.NOT_RUN, reportedState());
    }

    /**
     * Reproduces a pause of the node, after which the upstream continues under a new id and the call is read from the
     * buffer of the old connection.
     */
    @Test
    void aRefusalOfACallForTheFormerIdIsReportedAgain() {
        server.attach(local.withId("u1-renamed"));
        Message.Call refused = call("u1");
        server.received(link, refused);
        server.received(fresh, inquiry(refused));
        assertEquals(RunState.NOT_RUN, reportedState());
    }

    private RunState reportedState() {
        return ((Message.Refused) fresh.sent().getLast()).refusal().state();
    }

    private static Message.Inquire inquiry(Message.Call call) {
        return new Message.Inquire(call.id(), 1, call.receiverClock());
    }

    private Message.Call call(String upstream) {
        return new Message.Call(
                new CallId(5, 1),
                new RequestId(5, 1),
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
                new Message.Content("POST", "/p", List.of(), new byte[0]));
    }
}
