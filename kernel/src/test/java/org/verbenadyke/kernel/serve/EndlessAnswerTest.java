package org.verbenadyke.kernel.serve;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.message.Message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a filing whose answer has no end and is read for ever. */
final class EndlessAnswerTest extends OneSlotFixture {
    private static final int PART_BYTES = 64 * 1024;
    private static final long MILLI = 1_000_000L;

    /** The grace period after the deadline of a filing, with the deadline. */
    private static final int GRACE_SECONDS = 61;

    private final CallId id;

    EndlessAnswerTest() {
        expectingCancellation = true;
        Message.Call call = call(1);
        id = call.id();
        server.received(link, call);
        handed.getFirst().head(200, List.of());
    }

    @Test
    void anAnswerThatNobodyWaitsForIsReadUpToItsLimit() {
        server.received(link, new Message.Cancel(id));
        long read = 0;
        for (; cancelledFilings == 0 && read <= 2 * ReadTimeout.MAX_ABANDONED_BYTES; read += PART_BYTES) {
            handed.getFirst().data(new byte[PART_BYTES]);
        }
        assertTrue(read <= ReadTimeout.MAX_ABANDONED_BYTES + PART_BYTES, read + " bytes");
        assertEnded();
    }

    @Test
    void anAnswerThatNobodyWaitsForAndThatTricklesIsReadForAShortTime() {
        server.received(link, new Message.Cancel(id));
        trickle((int) (ReadTimeout.MAX_ABANDONED_NANOS / (1_000 * MILLI)) + 1);
        assertEnded();
    }

    @Test
    void anAnswerWhoseLinkIsLostIsReadForAShortTime() {
        handed.getFirst().data(new byte[PART_BYTES]);
        handed.getFirst().data(new byte[PART_BYTES]);
        link.close();
        server.linkLost(link);
        trickle((int) (ReadTimeout.MAX_ABANDONED_NANOS / (1_000 * MILLI)) + 1);
        assertEnded();
    }

    @Test
    void anAnswerThatTricklesLongAfterItsDeadlineEnds() {
        trickle(GRACE_SECONDS);
        assertEnded();
    }

    @Test
    void partsThatCameBeforeTheCancellationAreDropped() {
        server.received(link, new Message.Cancel(id));
        for (int i = 0; i < 2 * ReadTimeout.MAX_ABANDONED_BYTES / PART_BYTES; i++) {
            handed.getFirst().data(new byte[PART_BYTES]);
        }
        handed.getFirst().end();
        assertEnded();
        assertEquals(0, server.answerMemory().heldBytes());
    }

    private void trickle(int seconds) {
        for (int i = 0; i <= seconds; i++) {
            handed.getFirst().data(new byte[1]);
            clock.advance(1_000 * MILLI);
        }
    }

    private void assertEnded() {
        assertEquals(1, cancelledFilings);
        assertEquals(0, server.unfinished());
        assertEquals(0, server.upstream().orElseThrow().gate().inFlight());
    }
}
