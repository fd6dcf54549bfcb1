package org.verbenadyke.wire;

import java.io.IOException;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.message.Message;

/**
 * Encodes the messages by which nodes allocate permits under teams' limits.
 */
final class QuotaCodec {
    private QuotaCodec() {}

    static void pack(MessagePacker p, Message.QuotaRequest m) throws IOException {
        p.packLong(m.ticket()).packString(m.node()).packString(m.team());
        p.packInt(m.leased()).packInt(m.returned()).packInt(m.needed()).packInt(m.requested());
    }

    static Message.QuotaRequest unpackRequest(MessageUnpacker u) throws IOException {
        return new Message.QuotaRequest(
                u.unpackLong(),
                u.unpackString(),
                u.unpackString(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackInt());
    }

    static void pack(MessagePacker p, Message.QuotaReply m) throws IOException {
        p.packLong(m.ticket()).packString(m.team()).packBoolean(m.fromAllocator());
        p.packInt(m.granted()).packLong(m.availableAfterMillis()).packDouble(m.surplusShare());
    }

    static Message.QuotaReply unpackReply(MessageUnpacker u) throws IOException {
        return new Message.QuotaReply(
                u.unpackLong(), u.unpackString(), u.unpackBoolean(), u.unpackInt(), u.unpackLong(), u.unpackDouble());
    }
}
