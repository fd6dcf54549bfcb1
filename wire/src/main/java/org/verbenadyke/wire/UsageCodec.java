package org.verbenadyke.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.cost.Usage;

/**
 * Encodes the slot time that a call took as an array of services, each with its microseconds.
 */
final class UsageCodec {
    private UsageCodec() {}

    static void pack(MessagePacker p, Usage usage) throws IOException {
        p.packArrayHeader(usage.slotTimes().size());
        for (Usage.SlotTime used : usage.slotTimes()) {
            p.packString(used.service()).packLong(used.micros());
        }
    }

    static Usage unpack(MessageUnpacker u) throws IOException {
        int n = u.unpackArrayHeader();
        if (n == 0) {
            return Usage.NONE;
        }
        if (n > Usage.MAX_SERVICES) {
            throw FrameCodec.malformed(n + " services in a usage");
        }
        List<Usage.SlotTime> slotTimes = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            slotTimes.add(unpackSlotTime(u));
        }
        return new Usage(slotTimes);
    }

    private static Usage.SlotTime unpackSlotTime(MessageUnpacker u) throws IOException {
        String service = u.unpackString();
        long micros = u.unpackLong();
        if (micros < 0) {
            throw FrameCodec.malformed("a slot time of " + micros + " us");
        }
        return new Usage.SlotTime(service, micros);
    }
}
