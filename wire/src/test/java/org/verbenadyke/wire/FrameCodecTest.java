package org.verbenadyke.wire;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.budget.RetryDecision;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.cost.Usage;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.message.KeyFact;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.Repetition;
import org.verbenadyke.kernel.once.StoredOutcome;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests {@link FrameCodec}, also with randomly changed bytes. */
final class FrameCodecTest {
    private static final int MANY_FIELDS = 4_000;
    private static final CallId ID = new CallId(-3, 9);
    private static final CallCounts CALLS =
            CallCounts.of("deep", Integer.MAX_VALUE).plusOne("s");
    private static final Message.Report REPORT = new Message.Report(
            1,
            2,
            4,
            3,
            true,
            new Message.Stated(-6, 44.9, true),
            new Message.DeeperLevel("deep", 4, 5),
            new Usage(List.of(new Usage.SlotTime("deep", Long.MAX_VALUE), new Usage.SlotTime("s", 0))),
            CALLS);
    private static final List<HeaderField> HEADERS = List.of(new HeaderField("a", "b"), new HeaderField("ü", ""));
    private static final int MUTATED_FRAMES = 20_000;

    private final List<Message> messages = List.of(
            new Message.Hello(1, "n", 5),
            new Message.Heartbeat(Long.MIN_VALUE),
            new Message.Call(
                    ID,
                    new RequestId(7, 8),
                    new Message.Target("s", "u"),
                    Importance.HIGH,
                    19,
                    5,
                    4,
                    6,
                    true,
                    "key",
                    new Message.Stated(7, 0, false),
                    true,
                    Repetition.INHERITED,
                    new Message.Content("GET", "/x?y", HEADERS, new byte[] {1, 2, 3})),
            new Message.Head(ID, 200, HEADERS, true, REPORT),
            new Message.Data(ID, 1L << 40, new byte[20_000]),
            new Message.End(ID, 3),
            new Message.Refused(ID, Refusal.notRun(RefusalReason.SEALED, 4), REPORT),
            new Message.Credit(ID, 5),
            new Message.Cancel(ID),
            new Message.Spend(ID, 6, CALLS),
            new Message.Grant(ID, 6, RetryDecision.DENIED_ALLOWANCE),
            new Message.Inquire(ID, 3, 4),
            new Message.KeyQuery(1, "you", "me", true, "k"),
            new Message.KeyReply(1, new KeyFact.Undetermined()),
            new Message.KeyReply(
                    1, new KeyFact.Known(2, new StoredOutcome.CompleteAnswer(201, HEADERS, new byte[] {4}))),
            new Message.KeyTransfer(
                    "k", 2, new StoredOutcome.NoAnswer(Refusal.mayHaveRun(RefusalReason.UPSTREAM_BROKEN))),
            new Message.KeyTransferEnd("u"),
            new Message.PlanRequest(),
            new Message.PlanReply(new byte[] {1, 2}),
            new Message.QuotaRequest(1L << 40, "me", "team", 1, 2, 3, 4),
            new Message.QuotaReply(1L << 40, "team", true, 5, 6, 0.25));

    @Test
    void everyMessageIsDecodedAsEncoded() {
        for (Message m : messages) {
            byte[] frame = FrameCodec.encode(m);
            assertArrayEquals(
                    frame,
                    FrameCodec.encode(FrameCodec.decode(frame)),
                    m.getClass().getSimpleName());
            assertEquals(m.getClass(), FrameCodec.decode(frame).getClass());
        }
    }

    /** A head that the limits allow would otherwise close the link, and abort all answers in progress there. */
    @Test
    void decodesAHeadWithThousandsOfFields() {
        List<HeaderField> fields = IntStream.range(0, MANY_FIELDS)
                .mapToObj(i -> new HeaderField("f" + i, ""))
                .toList();
        byte[] frame = FrameCodec.encode(new Message.Head(
                new CallId(1, 2),
                200,
                fields,
                false,
                new Message.Report(
                        0,
                        0,
                        0,
                        0,
                        false,
                        Message.Stated.NOTHING,
                        Message.DeeperLevel.NONE,
                        Usage.NONE,
                        CallCounts.NONE)));
        assertEquals(fields, ((Message.Head) FrameCodec.decode(frame)).headers());
    }

    @Test
    void rejectsAFrameWithBytesAfterTheMessage() {
        byte[] frame = FrameCodec.encode(new Message.Cancel(ID));
        byte[] longer = Arrays.copyOf(frame, frame.length + 1);
        VerbenadykeException e = assertThrows(VerbenadykeException.class, () -> FrameCodec.decode(longer));
        assertEquals(ErrorCode.FRAME_MALFORMED, e.code());
    }

    @Test
    void aChangedFrameIsDecodedOrRejectedAsMalformed() {
        SplittableRandom random = new SplittableRandom(11);
        for (int i = 0; i < MUTATED_FRAMES; i++) {
            byte[] frame = FrameCodec.encode(messages.get(random.nextInt(messages.size())));
            int changes = 1 + random.nextInt(3);
            for (int c = 0; c < changes; c++) {
                frame[random.nextInt(Math.min(frame.length, 200))] = (byte) random.nextInt();
            }
            try {
                FrameCodec.decode(frame);
            } catch (VerbenadykeException e) {
                assertEquals(ErrorCode.FRAME_MALFORMED, e.code());
            }
        }
    }
}
