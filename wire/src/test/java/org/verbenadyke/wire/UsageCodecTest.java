package org.verbenadyke.wire;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.cost.Usage;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.message.Message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link UsageCodec}: a peer must not be able to send an unbounded list or a negative slot time. */
final class UsageCodecTest {
    private static final int MUTATED_FRAMES = 20_000;

    @Test
    void decodesWhatWasEncoded() throws IOException {
        for (int services = 0; services <= Usage.MAX_SERVICES; services++) {
            Usage usage = usage(services);
            assertEquals(usage, decode(encode(usage)));
        }
    }

    /** Deployments that don't request usage must pay one byte for it. */
    @Test
    void anEmptyUsageTakesOneByte() throws IOException {
        assertEquals(1, encode(Usage.NONE).length);
    }

    @ParameterizedTest
    @CsvSource({Usage.MAX_SERVICES + 1 + ", 1", "1, -1"})
    void rejectsMoreServicesThanAllowedAndANegativeSlotTime(int services, long micros) throws IOException {
        try (MessageBufferPacker p = Buffers.packer()) {
            p.packArrayHeader(services);
            for (int i = 0; i < services; i++) {
                p.packString("s" + i).packLong(micros);
            }
            byte[] bytes = p.toByteArray();
            VerbenadykeException e = assertThrows(VerbenadykeException.class, () -> decode(bytes));
            assertEquals(ErrorCode.FRAME_MALFORMED, e.code());
        }
    }

    @Test
    void aChangedFrameIsDecodedOrRejectedAsMalformed() {
        byte[] whole = FrameCodec.encode(head(usage(Usage.MAX_SERVICES)));
        int usageBytes = whole.length - FrameCodec.encode(head(Usage.NONE)).length + 1;
        SplittableRandom random = new SplittableRandom(12);
        int decoded = 0;
        for (int i = 0; i < MUTATED_FRAMES; i++) {
            byte[] frame = whole.clone();
            frame[frame.length - 1 - random.nextInt(usageBytes)] = (byte) random.nextInt();
            try {
                FrameCodec.decode(frame);
                decoded++;
            } catch (VerbenadykeException e) {
                assertEquals(ErrorCode.FRAME_MALFORMED, e.code());
            }
        }
        assertTrue(decoded > 0 && decoded < MUTATED_FRAMES, decoded + " decoded");
    }

    private static Message.Head head(Usage usage) {
        Message.Report report = new Message.Report(
                1, 2, 3, 4, false, Message.Stated.NOTHING, Message.DeeperLevel.NONE, usage, CallCounts.NONE);
        return new Message.Head(new CallId(1, 2), 200, List.of(), false, report);
    }

    private static Usage usage(int services) {
        return new Usage(IntStream.range(0, services)
                .mapToObj(i -> new Usage.SlotTime("service-" + i, Long.MAX_VALUE >> 13 * i))
                .toList());
    }

    private static byte[] encode(Usage usage) throws IOException {
        try (MessageBufferPacker p = Buffers.packer()) {
            UsageCodec.pack(p, usage);
            return p.toByteArray();
        }
    }

    private static Usage decode(byte[] bytes) throws IOException {
        try (MessageUnpacker u = Buffers.unpacker(bytes)) {
            return UsageCodec.unpack(u);
        }
    }
}
