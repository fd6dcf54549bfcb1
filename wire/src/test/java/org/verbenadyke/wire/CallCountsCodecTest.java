package org.verbenadyke.wire;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.error.VerbenadykeException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests {@link CallCountsCodec}. */
final class CallCountsCodecTest {
    @Test
    void readsWhatItWrote() throws IOException {
        CallCounts counts = CallCounts.of("deep", 8).plusOne("s");
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            CallCountsCodec.pack(p, counts);
            assertEquals(counts, CallCountsCodec.unpack(MessagePack.newDefaultUnpacker(p.toByteArray())));
        }
    }

    @ParameterizedTest
    @CsvSource({"33, 1", "1, 0", "1, -1"})
    void rejectsTooManyServicesAndNumbersThatAreNotPositive(int services, int calls) throws IOException {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            p.packArrayHeader(services);
            for (int i = 0; i < services; i++) {
                p.packString("s" + i).packInt(calls);
            }
            assertThrows(
                    VerbenadykeException.class,
                    () -> CallCountsCodec.unpack(MessagePack.newDefaultUnpacker(p.toByteArray())));
        }
    }
}
