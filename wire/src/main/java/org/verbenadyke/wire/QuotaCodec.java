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

    static void pack(MessagePacker p, Message.QuotaAsk m) throws IOException {
        p.packLong(m.ticket()).packString(m.node()).packString(m.team());
        p.packInt(m.held()).packInt(m.returned()).packInt(m.needed()).packInt(m.wanted());
    }

    static Message.QuotaAsk unpackAsk(MessageUnpacker u) throws IOException {
        return new Message.QuotaAsk(
                u.unpackLong(),
                u.unpackString(),
                u.unpackString(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackInt());
    }

    static void pack(MessagePacker p, Message.QuotaTold m) throws IOException {
        p.packLong(m.ticket()).packString(m.team()).packBoolean(m.dealt());
        p.packInt(m.granted()).packLong(m.afterMillis());
    }

    static Message.QuotaTold unpackTold(MessageUnpacker u) throws IOException {
        return new Message.QuotaTold(
                u.unpackLong(), u.unpackString(), u.unpackBoolean(), u.unpackInt(), u.unpackLong());
    }
}
