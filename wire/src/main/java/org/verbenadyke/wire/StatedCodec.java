package org.verbenadyke.wire;

import java.io.IOException;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.message.Message;

/**
 * Encodes what an upstream has stated about itself: nil if it has stated nothing.
 */
final class StatedCodec {
    private StatedCodec() {}

    static void pack(MessagePacker p, Message.Stated stated) throws IOException {
        if (stated.isEmpty()) {
            p.packNil();
            return;
        }
        p.packLong(stated.start()).packDouble(stated.perSecond()).packBoolean(stated.leaving());
    }

    static Message.Stated unpack(MessageUnpacker u) throws IOException {
        if (u.tryUnpackNil()) {
            return Message.Stated.NOTHING;
        }
        Message.Stated stated = new Message.Stated(u.unpackLong(), u.unpackDouble(), u.unpackBoolean());
        boolean valid = stated.perSecond() >= 0;
        if (!valid) {
            throw FrameCodec.malformed("a rate limit of " + stated.perSecond());
        }
        return stated;
    }
}
