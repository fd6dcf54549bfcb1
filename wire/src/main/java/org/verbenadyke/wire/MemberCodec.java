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
    /** How many values a packed record has. */
    static final int VALUES = 13;

    /**
     * The highest incarnation, version or epoch that is taken: no count of a node gets there, and a record near the end
     * of its type could never be outranked by the node that it names.
     */
    private static final long COUNT_MOST = Long.MAX_VALUE / 2;

    private static final int EPOCH_MOST = Integer.MAX_VALUE / 2;
    private static final int PORT_MOST = 65_535;

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
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, "its bytes are no member record");
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
        if (!usable(record)) {
            throw VerbenadykeException.of(
                    ErrorCode.RECORD_UNREADABLE, "values out of range in that of '" + record.nodeId() + "'");
        }
        return record;
    }

    private static boolean usable(MemberRecord r) {
        return !r.nodeId().isEmpty()
                && count(r.incarnation(), COUNT_MOST)
                && count(r.version(), COUNT_MOST)
                && count(r.epoch(), EPOCH_MOST)
                && !r.endpoint().host().isEmpty()
                && r.endpoint().port() > 0
                && r.endpoint().port() <= PORT_MOST
                && count(r.control().port(), PORT_MOST);
    }

    private static boolean count(long value, long most) {
        return value >= 0 && value <= most;
    }
}
