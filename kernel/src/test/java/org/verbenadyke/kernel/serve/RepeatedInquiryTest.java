package org.verbenadyke.kernel.serve;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against a changed execution status: a node that knows that an attempt did not run must report so again when
 * its first reply was lost.
 */
final class RepeatedInquiryTest extends OneSlotFixture {
    private final RecordingLink fresh = new RecordingLink();
    private final LocalUpstream local = server.upstream().orElseThrow();

    @Test
    void aSealIsReportedAgainWhenItsAnswerWasLost() {
        Message.Call late = call(1);
        server.received(link, inquiry(late));
        server.linkLost(link);
        server.received(fresh, inquiry(late));
        assertEquals(RunState.NOT_RUN, reportedState());
        assertEquals(List.of(), handed);
    }

    @Test
    void aRefusalBeforeQueueingIsReportedAgainWhenItWasLost() {
        local.drain(DrainCause.LEAVING);
        Message.Call refused = call(1);
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
        Message.Call refused = call(1);
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
}
