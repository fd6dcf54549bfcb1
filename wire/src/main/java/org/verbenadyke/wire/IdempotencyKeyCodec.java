package org.verbenadyke.wire;

import java.io.IOException;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.message.KeyFact;
import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * Encodes what nodes know of idempotency keys, and the stored outcomes of requests with such keys.
 */
final class IdempotencyKeyCodec {
    private static final byte COMPLETE_ANSWER = 0;
    private static final byte NO_ANSWER = 1;
    private static final byte NEVER_RAN = 0;
    private static final byte UNDETERMINED = 1;
    private static final byte KNOWN = 2;

    private IdempotencyKeyCodec() {}

    static void pack(MessagePacker p, StoredOutcome outcome) throws IOException {
        switch (outcome) {
            case StoredOutcome.CompleteAnswer w -> {
                p.packByte(COMPLETE_ANSWER).packInt(w.status());
                FrameCodec.packHeaders(p, w.headers());
                FrameCodec.packBytes(p, w.body());
            }
            case StoredOutcome.NoAnswer l -> {
                p.packByte(NO_ANSWER);
                FrameCodec.packRefusal(p, l.refusal());
            }
        }
    }

    static StoredOutcome unpack(MessageUnpacker u) throws IOException {
        byte kind = u.unpackByte();
        return switch (kind) {
            case COMPLETE_ANSWER ->
                new StoredOutcome.CompleteAnswer(u.unpackInt(), FrameCodec.unpackHeaders(u), FrameCodec.unpackBytes(u));
            case NO_ANSWER -> new StoredOutcome.NoAnswer(FrameCodec.unpackRefusal(u));
            default -> throw FrameCodec.malformed("stored outcome " + kind);
        };
    }

    static void packFact(MessagePacker p, KeyFact fact) throws IOException {
        switch (fact) {
            case KeyFact.NeverRan f -> p.packByte(NEVER_RAN);
            case KeyFact.Undetermined f -> p.packByte(UNDETERMINED);
            case KeyFact.Known f -> {
                p.packByte(KNOWN).packLong(f.fingerprint());
                pack(p, f.outcome());
            }
        }
    }

    static KeyFact unpackFact(MessageUnpacker u) throws IOException {
        byte kind = u.unpackByte();
        return switch (kind) {
            case NEVER_RAN -> new KeyFact.NeverRan();
            case UNDETERMINED -> new KeyFact.Undetermined();
            case KNOWN -> new KeyFact.Known(u.unpackLong(), unpack(u));
            default -> throw FrameCodec.malformed("state of a key " + kind);
        };
    }
}
