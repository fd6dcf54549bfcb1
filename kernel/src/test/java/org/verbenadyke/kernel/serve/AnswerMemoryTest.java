package org.verbenadyke.kernel.serve;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.cost.Usage;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link AnswerMemory} with the answers that use it. */
final class AnswerMemoryTest {
    private static final int ANSWER_BYTES = 36_000;
    private static final int ANSWERS = 3_000;

    private final ServeSettings settings = ServeSettings.standard();
    private final AnswerMemory memory = AnswerMemory.of(settings.storedAnswersBytes());
    private final List<AnswerWriter> writers = new ArrayList<>();

    /** Each answer is kept for a minute; without a limit on their sum a busy node runs out of heap. */
    @Test
    void keepsTheNewestAnswersWithinTheLimit() {
        for (int i = 0; i < ANSWERS; i++) {
            answer(i);
            assertTrue(memory.heldBytes() <= settings.storedAnswersBytes());
        }
        assertTrue(replays(ANSWERS - 1));
        assertFalse(replays(0));
        long kept = writers.stream().filter(w -> replays(writers.indexOf(w))).count();
        assertEquals(settings.storedAnswersBytes() / ANSWER_BYTES, kept);
    }

    @Test
    void streamsAnAnswerForWhichThereIsNoMemory() {
        AnswerMemory none = AnswerMemory.of(ANSWER_BYTES - 1);
        RecordingLink link = new RecordingLink();
        AnswerWriter writer = answer(1, none, link);
        assertEquals(ANSWER_BYTES, ((Message.End) link.sent().getLast()).length());
        assertFalse(writer.replay(link, AnswerMemoryTest::report));
        assertEquals(0, none.heldBytes());
    }

    @Test
    void releasesTheMemoryOfDiscardedAnswersOnce() {
        answer(1);
        AnswerWriter unfinished = writer(2, memory);
        unfinished.head(head(2), new RecordingLink());
        unfinished.data(new byte[ANSWER_BYTES], new RecordingLink());
        assertEquals(2 * ANSWER_BYTES, memory.heldBytes());
        unfinished.discard();
        unfinished.discard();
        writers.get(0).discard();
        writers.get(0).discard();
        assertEquals(0, memory.heldBytes());
    }

    private void answer(int number) {
        writers.add(answer(number, memory, new RecordingLink()));
    }

    private AnswerWriter answer(int number, AnswerMemory answers, RecordingLink link) {
        AnswerWriter writer = writer(number, answers);
        writer.head(head(number), link);
        writer.data(new byte[ANSWER_BYTES], link);
        writer.end(link);
        return writer;
    }

    private AnswerWriter writer(int number, AnswerMemory answers) {
        SmallParts smallParts = new SmallParts(VirtualTimerService.startingAt(0), SerialExecutor.create());
        return new AnswerWriter(new CallId(1, number), settings, answers, smallParts, true);
    }

    private boolean replays(int index) {
        return writers.get(index).replay(new RecordingLink(), AnswerMemoryTest::report);
    }

    private static Message.Head head(int number) {
        return new Message.Head(new CallId(1, number), 200, List.of(), false, report());
    }

    private static Message.Report report() {
        return new Message.Report(
                0, 0, 0, 0, false, Message.Stated.NOTHING, Message.DeeperLevel.NONE, Usage.NONE, CallCounts.NONE);
    }
}
