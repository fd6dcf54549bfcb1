package org.verbenadyke.kernel.serve;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a streamed answer that has lost its caller and keeps the upstream's slot for good. */
final class AbandonedAnswerTest extends OneSlotFixture {
    /** More than is stored, and more than the caller has granted. */
    private static final int PART_BYTES = 256 * 1024;

    private final RecordingLink fresh = new RecordingLink();
    private final CallId id;

    AbandonedAnswerTest() {
        Message.Call call = call(1);
        id = call.id();
        server.received(link, call);
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
        assertEquals(0, server.upstream().orElseThrow().gate().inFlight());
        assertEquals(sent, link.sent().size());
    }
}
