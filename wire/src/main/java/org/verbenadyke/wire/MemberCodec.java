package org.verbenadyke.wire;

import java.io.IOException;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.log.RecordCodec;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

/**
 * Encodes member records for the log and for gossip.
 */
public final class MemberCodec implements RecordCodec<MemberRecord> {
    /** The number of values in a packed record. */
    static final int VALUES_PER_RECORD = 13;

    /**
     * The highest accepted incarnation or version, half the range of the type: no node counts that far, and a record
     * with a value near the end of the range could never be superseded by the node that it names.
     */
    private static final long MAX_COUNTER = Long.MAX_VALUE / 2;

    /** The highest accepted epoch, for the same reason as {@link #MAX_COUNTER}. */
    private static final int MAX_EPOCH = Integer.MAX_VALUE / 2;

    private static final int MAX_PORT = 65_535;

    private MemberCodec() {}

    /**
     * Creates a codec.
     *
     * @return the codec
     */
    public static MemberCodec create() {
        return new MemberCodec();
    }

    @Override
    public byte[] encode(MemberRecord record) {
        try (MessageBufferPacker p = Buffers.packer()) {
            pack(p, record);
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public MemberRecord decode(byte[] bytes) {
        try (MessageUnpacker u = Buffers.unpacker(bytes)) {
            return unpack(u);
        } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, "the bytes are not a member record");
        }
    }

    static void pack(MessagePacker p, MemberRecord r) throws IOException {
        p.packString(r.nodeId()).packLong(r.incarnation()).packLong(r.version());
        p.packInt(r.state().ordinal());
        p.packString(r.endpoint().host()).packInt(r.endpoint().port());
        p.packString(r.control().host()).packInt(r.control().port());
        p.packString(r.location().region()).packString(r.location().dataCentre());
        p.packString(r.service()).packLong(r.changedMillis()).packInt(r.epoch());
    }

    static MemberRecord unpack(MessageUnpacker u) throws IOException {
        MemberRecord record = new MemberRecord(
                u.unpackString(),
                u.unpackLong(),
                u.unpackLong(),
                MemberState.values()[u.unpackInt()],
                new Endpoint(u.unpackString(), u.unpackInt()),
                new Endpoint(u.unpackString(), u.unpackInt()),
                new Location(u.unpackString(), u.unpackString()),
                u.unpackString(),
                u.unpackLong(),
                u.unpackInt());
        if (!isValid(record)) {
            throw VerbenadykeException.of(
                    ErrorCode.RECORD_UNREADABLE,
                    "values out of range in the member record of '" + record.nodeId() + "'");
        }
        return record;
    }

    private static boolean isValid(MemberRecord r) {
        return !r.nodeId().isEmpty()
                && inRange(r.incarnation(), MAX_COUNTER)
                && inRange(r.version(), MAX_COUNTER)
                && inRange(r.epoch(), MAX_EPOCH)
                && !r.endpoint().host().isEmpty()
                && r.endpoint().port() > 0
                && r.endpoint().port() <= MAX_PORT
                && inRange(r.control().port(), MAX_PORT);
    }

    private static boolean inRange(long value, long max) {
        return value >= 0 && value <= max;
    }
}
