package org.verbenadyke.wire;

import java.io.IOException;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * Encodes what is known of keys.
 */
final class KeptAnswerCodec {
    private static final byte WHOLE = 0;
    private static final byte LOST = 1;
    private static final byte UNKNOWN = 0;
    private static final byte UNSURE = 1;
    private static final byte KNOWN = 2;

    private KeptAnswerCodec() {}

    static void pack(MessagePacker p, StoredOutcome answer) throws IOException {
        switch (answer) {
            case StoredOutcome.CompleteAnswer w -> {
                p.packByte(WHOLE).packInt(w.status());
                FrameCodec.packHeaders(p, w.headers());
                FrameCodec.packBytes(p, w.body());
            }
            case StoredOutcome.NoAnswer l -> {
                p.packByte(LOST);
                FrameCodec.packRefusal(p, l.refusal());
            }
        }
    }

    static StoredOutcome unpack(MessageUnpacker u) throws IOException {
        byte kind = u.unpackByte();
        return switch (kind) {
            case WHOLE ->
                new StoredOutcome.CompleteAnswer(u.unpackInt(), FrameCodec.unpackHeaders(u), FrameCodec.unpackBytes(u));
            case LOST -> new StoredOutcome.NoAnswer(FrameCodec.unpackRefusal(u));
            default -> throw FrameCodec.malformed("kept answer " + kind);
        };
    }

    static void packFact(MessagePacker p, Message.KeyFact fact) throws IOException {
        switch (fact) {
            case Message.KeyFact.NeverRan f -> p.packByte(UNKNOWN);
            case Message.KeyFact.Undetermined f -> p.packByte(UNSURE);
            case Message.KeyFact.Known f -> {
                p.packByte(KNOWN).packLong(f.fingerprint());
                pack(p, f.outcome());
            }
        }
    }

    static Message.KeyFact unpackFact(MessageUnpacker u) throws IOException {
        byte kind = u.unpackByte();
        return switch (kind) {
            case UNKNOWN -> new Message.KeyFact.NeverRan();
            case UNSURE -> new Message.KeyFact.Undetermined();
            case KNOWN -> new Message.KeyFact.Known(u.unpackLong(), unpack(u));
            default -> throw FrameCodec.malformed("key fact " + kind);
        };
    }
}
