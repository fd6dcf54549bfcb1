package org.verbenadyke.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.budget.RetryDecision;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.Repetition;

/**
 * Encodes the messages between nodes as MessagePack: the type's number, then its fields in order. On the wire each
 * message is preceded by its length in four bytes; see {@link #LENGTH_BYTES}.
 */
public final class FrameCodec {
    /** The size of the length field that precedes each frame, in bytes. */
    public static final int LENGTH_BYTES = 4;

    /** The largest frame, in bytes. */
    public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    /** More fields than a request head of the usual size can hold, at some four bytes each. */
    private static final int MAX_HEADERS = 8_192;

    private FrameCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the frame without its length
     */
    public static byte[] encode(Message message) {
        try (MessageBufferPacker p = Buffers.packer()) {
            p.packByte(FrameType.of(message).number());
            pack(p, message);
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Decodes a frame.
     *
     * @param frame the frame without its length
     * @return the message
     * @throws VerbenadykeException with {@link ErrorCode#FRAME_MALFORMED}
     */
    public static Message decode(byte[] frame) {
        try (MessageUnpacker u = Buffers.unpacker(frame)) {
            Message message = unpack(u, FrameType.ofNumber(u.unpackByte()));
            if (u.hasNext()) {
                throw malformed("bytes after the message");
            }
            return message;
        } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
            throw malformed(e.getClass().getSimpleName());
        }
    }

    static void pack(MessageBufferPacker p, Message message) throws IOException {
        switch (message) {
            case Message.Hello m -> {
                p.packInt(m.version()).packString(m.nodeId()).packLong(m.incarnation());
            }
            case Message.Heartbeat m -> p.packLong(m.senderClock());
            case Message.Call m -> packCall(p, m);
            case Message.Head m -> {
                packId(p, m.id()).packInt(m.status());
                packHeaders(p, m.headers());
                p.packBoolean(m.retriesExhausted());
                packReport(p, m.report());
            }
            case Message.Data m -> {
                packId(p, m.id()).packLong(m.offset());
                packBytes(p, m.bytes());
            }
            case Message.End m -> packId(p, m.id()).packLong(m.length());
            case Message.Refused m -> {
                packId(p, m.id());
                packRefusal(p, m.refusal());
                packReport(p, m.report());
            }
            case Message.Credit m -> packId(p, m.id()).packInt(m.bytes());
            case Message.Cancel m -> packId(p, m.id());
            case Message.Spend m -> CallCountsCodec.pack(packId(p, m.id()).packLong(m.ticket()), m.calls());
            case Message.Grant m ->
                packId(p, m.id()).packLong(m.ticket()).packInt(m.decision().ordinal());
            case Message.Inquire m ->
                packId(p, m.id()).packLong(m.targetIncarnation()).packLong(m.targetClock());
            case Message.KeyQuery m ->
                p.packLong(m.ticket())
                        .packString(m.formerOwner())
                        .packString(m.newOwner())
                        .packBoolean(m.vouchForPredecessors())
                        .packString(m.key());
            case Message.KeyReply m -> {
                p.packLong(m.ticket());
                IdempotencyKeyCodec.packFact(p, m.fact());
            }
            case Message.KeyTransfer m -> {
                p.packString(m.key()).packLong(m.fingerprint());
                IdempotencyKeyCodec.pack(p, m.outcome());
            }
            case Message.KeyTransferEnd m -> p.packString(m.upstream());
            case Message.PlanRequest m -> p.packNil();
            case Message.PlanReply m -> packBytes(p, m.document());
            case Message.QuotaRequest m -> QuotaCodec.pack(p, m);
            case Message.QuotaReply m -> QuotaCodec.pack(p, m);
        }
    }

    private static Message unpack(MessageUnpacker u, FrameType type) throws IOException {
        return switch (type) {
            case HELLO -> new Message.Hello(u.unpackInt(), u.unpackString(), u.unpackLong());
            case HEARTBEAT -> new Message.Heartbeat(u.unpackLong());
            case CALL -> unpackCall(u);
            case HEAD ->
                new Message.Head(unpackId(u), u.unpackInt(), unpackHeaders(u), u.unpackBoolean(), unpackReport(u));
            case DATA -> new Message.Data(unpackId(u), u.unpackLong(), unpackBytes(u));
            case END -> new Message.End(unpackId(u), u.unpackLong());
            case REFUSED -> new Message.Refused(unpackId(u), unpackRefusal(u), unpackReport(u));
            case CREDIT -> new Message.Credit(unpackId(u), u.unpackInt());
            case CANCEL -> new Message.Cancel(unpackId(u));
            case SPEND -> new Message.Spend(unpackId(u), u.unpackLong(), CallCountsCodec.unpack(u));
            case GRANT -> new Message.Grant(unpackId(u), u.unpackLong(), RetryDecision.values()[u.unpackInt()]);
            case INQUIRE -> new Message.Inquire(unpackId(u), u.unpackLong(), u.unpackLong());
            case KEY_ASK ->
                new Message.KeyQuery(
                        u.unpackLong(), u.unpackString(), u.unpackString(), u.unpackBoolean(), u.unpackString());
            case KEY_TOLD -> new Message.KeyReply(u.unpackLong(), IdempotencyKeyCodec.unpackFact(u));
            case KEY_HAND_ON ->
                new Message.KeyTransfer(u.unpackString(), u.unpackLong(), IdempotencyKeyCodec.unpack(u));
            case KEYS_HANDED_ON -> new Message.KeyTransferEnd(u.unpackString());
            case PLAN_WANTED -> {
                u.unpackNil();
                yield new Message.PlanRequest();
            }
            case PLAN_TOLD -> new Message.PlanReply(unpackBytes(u));
            case QUOTA_ASK -> QuotaCodec.unpackRequest(u);
            case QUOTA_TOLD -> QuotaCodec.unpackReply(u);
        };
    }

    private static void packCall(MessageBufferPacker p, Message.Call m) throws IOException {
        packId(p, m.id());
        p.packLong(m.request().incarnation()).packLong(m.request().sequence());
        p.packString(m.target().service()).packString(m.target().upstream());
        p.packInt(m.importance().ordinal()).packInt(m.depth());
        p.packLong(m.ttlMicros()).packLong(m.dueMicros()).packLong(m.receiverClock());
        p.packBoolean(m.idempotent()).packString(m.key());
        StatedCodec.pack(p, m.known());
        p.packBoolean(m.usageRequested()).packInt(m.repetition().ordinal());
        p.packString(m.content().method()).packString(m.content().path());
        packHeaders(p, m.content().headers());
        packBytes(p, m.content().body());
        p.packString(m.content().team());
    }

    private static Message.Call unpackCall(MessageUnpacker u) throws IOException {
        return new Message.Call(
                unpackId(u),
                new RequestId(u.unpackLong(), u.unpackLong()),
                new Message.Target(u.unpackString(), u.unpackString()),
                Importance.values()[u.unpackInt()],
                u.unpackInt(),
                u.unpackLong(),
                u.unpackLong(),
                u.unpackLong(),
                u.unpackBoolean(),
                u.unpackString(),
                StatedCodec.unpack(u),
                u.unpackBoolean(),
                Repetition.values()[u.unpackInt()],
                new Message.Content(
                        u.unpackString(), u.unpackString(), unpackHeaders(u), unpackBytes(u), u.unpackString()));
    }

    private static MessageBufferPacker packId(MessageBufferPacker p, CallId id) throws IOException {
        p.packLong(id.incarnation()).packLong(id.sequence());
        return p;
    }

    private static CallId unpackId(MessageUnpacker u) throws IOException {
        return new CallId(u.unpackLong(), u.unpackLong());
    }

    static void packHeaders(MessagePacker p, List<HeaderField> headers) throws IOException {
        p.packArrayHeader(headers.size());
        for (HeaderField h : headers) {
            p.packString(h.name()).packString(h.value());
        }
    }

    static List<HeaderField> unpackHeaders(MessageUnpacker u) throws IOException {
        int n = u.unpackArrayHeader();
        if (n > MAX_HEADERS) {
            throw malformed(n + " header fields");
        }
        List<HeaderField> headers = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            headers.add(new HeaderField(u.unpackString(), u.unpackString()));
        }
        return headers;
    }

    static void packRefusal(MessagePacker p, Refusal r) throws IOException {
        p.packInt(r.state().ordinal()).packInt(r.reason().ordinal()).packLong(r.retryAfterMillis());
    }

    static Refusal unpackRefusal(MessageUnpacker u) throws IOException {
        return new Refusal(RunState.values()[u.unpackInt()], RefusalReason.values()[u.unpackInt()], u.unpackLong());
    }

    private static void packReport(MessageBufferPacker p, Message.Report r) throws IOException {
        p.packInt(r.inFlight())
                .packInt(r.limit())
                .packInt(r.level())
                .packInt(r.directLevel())
                .packBoolean(r.draining());
        StatedCodec.pack(p, r.stated());
        p.packString(r.deeperLevel().service())
                .packInt(r.deeperLevel().level())
                .packInt(r.deeperLevel().ageMillis());
        UsageCodec.pack(p, r.usage());
        CallCountsCodec.pack(p, r.calls());
    }

    private static Message.Report unpackReport(MessageUnpacker u) throws IOException {
        return new Message.Report(
                u.unpackInt(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackInt(),
                u.unpackBoolean(),
                StatedCodec.unpack(u),
                unpackDeeperLevel(u),
                UsageCodec.unpack(u),
                CallCountsCodec.unpack(u));
    }

    private static Message.DeeperLevel unpackDeeperLevel(MessageUnpacker u) throws IOException {
        return new Message.DeeperLevel(u.unpackString(), u.unpackInt(), u.unpackInt());
    }

    static void packBytes(MessagePacker p, byte[] bytes) throws IOException {
        p.packBinaryHeader(bytes.length);
        p.writePayload(bytes);
    }

    static byte[] unpackBytes(MessageUnpacker u) throws IOException {
        int n = u.unpackBinaryHeader();
        if (n > MAX_FRAME_BYTES) {
            throw malformed(n + " bytes of payload");
        }
        return u.readPayload(n);
    }

    static VerbenadykeException malformed(String detail) {
        return VerbenadykeException.of(ErrorCode.FRAME_MALFORMED, detail);
    }
}
