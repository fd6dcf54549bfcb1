package org.verbenadyke.kernel.serve;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.message.Message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an answer whose parts cost far more memory than the flow control counts. */
final class SmallPartsTest extends OneSlotFixture {
    private static final int BYTES = 100_000;

    /** More than is stored of a filing's answer. */
    private static final int STORED_BYTES = 64 * 1024;

    private static final long MILLI = 1_000_000L;

    private final CallId id;

    SmallPartsTest() {
        Message.Call call = call(1);
        id = call.id();
        server.received(link, call);
        handed.getFirst().head(200, List.of());
        handed.getFirst().data(new byte[STORED_BYTES]);
        handed.getFirst().data(new byte[SmallParts.MIN_BYTES]);
        link.sent().clear();
    }

    @Test
    void bytesThatComeOneByOneAreSentTogether() {
        sendBytes(BYTES);
        handed.getFirst().end();
        List<Message.Data> sent = sentParts();
        assertEquals(BYTES, sent.stream().mapToInt(d -> d.bytes().length).sum());
        assertTrue(sent.size() <= BYTES / SmallParts.MIN_BYTES + 2, sent.size() + " messages");
        assertOffsetsJoin(sent);
        assertEquals(
                STORED_BYTES + SmallParts.MIN_BYTES + BYTES,
                ((Message.End) link.sent().getLast()).length());
    }

    /** An upstream that pauses after a few bytes may mean its caller to act on them. */
    @Test
    void aSmallPartIsHeldForAShortTimeOnly() {
        sendBytes(1);
        assertEquals(1, sentParts().size());
        sendBytes(2);
        assertEquals(1, sentParts().size());
        clock.advance(SmallParts.MIN_INTERVAL_NANOS);
        assertEquals(2, sentParts().size());
        clock.advance(SmallParts.MIN_INTERVAL_NANOS);
        sendBytes(1);
        assertEquals(3, sentParts().size());
    }

    @Test
    void whatIsHeldOfAnAbandonedAnswerIsDropped() {
        sendBytes(2);
        server.received(link, new Message.Cancel(id));
        clock.advance(1_000 * MILLI);
        assertEquals(1, sentParts().size());
    }

    private void sendBytes(int count) {
        for (int i = 0; i < count; i++) {
            handed.getFirst().data(new byte[1]);
        }
    }

    private List<Message.Data> sentParts() {
        return link.sent().stream()
                .filter(Message.Data.class::isInstance)
                .map(Message.Data.class::cast)
                .toList();
    }

    private static void assertOffsetsJoin(List<Message.Data> parts) {
        long end = parts.getFirst().offset();
        for (Message.Data part : parts) {
            assertEquals(end, part.offset());
            end += part.bytes().length;
        }
    }
}
