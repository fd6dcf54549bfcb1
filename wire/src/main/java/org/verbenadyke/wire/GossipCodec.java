package org.verbenadyke.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.membership.GossipMessage;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Encodes the datagrams between nodes: the type's number, then its fields in order.
 */
public final class GossipCodec {
    private static final byte RUMOR = 0;
    private static final byte ACK = 1;
    private static final byte PROBE = 2;
    private static final byte PROBE_ACK = 3;
    private static final byte BUCKETS = 4;
    private static final byte RECORDS = 5;
    private static final byte CONFIG_REQUEST = 6;
    private static final byte CONFIG_UPDATE = 7;
    private static final byte CRASH_REPORTS = 8;
    private static final byte DEPARTURES = 9;
    private static final byte DEPARTURES_ACK = 10;

    private GossipCodec() {}

    /**
     * Encodes a datagram.
     *
     * @param message the message
     * @return its bytes
     */
    public static byte[] encode(GossipMessage message) {
        try (MessageBufferPacker p = Buffers.packer()) {
            pack(p, message);
            return p.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Decodes a datagram. Invalid member records in it are left out and do not affect the others.
     *
     * @param bytes its bytes
     * @return the message
     * @throws VerbenadykeException with {@link ErrorCode#RECORD_UNREADABLE}
     */
    public static GossipMessage decode(byte[] bytes) {
        return decode(bytes, reason -> {});
    }

    /**
     * Decodes a datagram. Invalid member records in it are left out and do not affect the others.
     *
     * @param bytes its bytes
     * @param skipped called for each record that is left out, with the reason
     * @return the message
     * @throws VerbenadykeException with {@link ErrorCode#RECORD_UNREADABLE}
     */
    public static GossipMessage decode(byte[] bytes, Consumer<String> skipped) {
        try (MessageUnpacker u = Buffers.unpacker(bytes)) {
            return unpack(u, new MemberRecordUnpacker(bytes, skipped));
        } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, "the bytes are not a datagram of a node");
        }
    }

    private static void pack(MessagePacker p, GossipMessage message) throws IOException {
        switch (message) {
            case GossipMessage.Rumor m -> {
                p.packByte(RUMOR).packString(m.from()).packLong(m.ticket());
                packSummary(p, m.summary());
                packRecords(p, m.updates());
            }
            case GossipMessage.Ack m -> {
                p.packByte(ACK).packString(m.from()).packLong(m.ticket());
                packSummary(p, m.summary());
                packRecords(p, m.updates());
            }
            case GossipMessage.Probe m -> {
                p.packByte(PROBE).packString(m.from()).packLong(m.ticket());
                packEndpoint(p, m.requester());
                packEndpoint(p, m.target());
            }
            case GossipMessage.ProbeAck m -> p.packByte(PROBE_ACK).packLong(m.ticket());
            case GossipMessage.Buckets m -> {
                p.packByte(BUCKETS).packString(m.from()).packBoolean(m.replyRequested());
                p.packArrayHeader(m.digests().size());
                for (long digest : m.digests()) {
                    p.packLong(digest);
                }
            }
            case GossipMessage.Records m -> {
                p.packByte(RECORDS);
                packRecords(p, m.records());
            }
            case GossipMessage.ConfigRequest m -> p.packByte(CONFIG_REQUEST).packString(m.from());
            case GossipMessage.ConfigUpdate m -> {
                p.packByte(CONFIG_UPDATE);
                ConfigCodec.packState(p, m.state());
            }
            case GossipMessage.CrashReports m -> {
                p.packByte(CRASH_REPORTS).packString(m.from());
                CrashReportCodec.pack(p, m.reports());
            }
            case GossipMessage.Departures m -> {
                p.packByte(DEPARTURES).packString(m.from()).packLong(m.ticket());
                NodeDeparturesCodec.packAll(p, m.departures());
            }
            case GossipMessage.DeparturesAck m -> {
                p.packByte(DEPARTURES_ACK).packString(m.from()).packLong(m.ticket());
                p.packBoolean(m.recovered());
                NodeDeparturesCodec.packAll(p, m.departures());
            }
        }
    }

    private static GossipMessage unpack(MessageUnpacker u, MemberRecordUnpacker records) throws IOException {
        byte kind = u.unpackByte();
        return switch (kind) {
            case RUMOR ->
                new GossipMessage.Rumor(u.unpackString(), u.unpackLong(), unpackSummary(u), records.unpack(u));
            case ACK -> new GossipMessage.Ack(u.unpackString(), u.unpackLong(), unpackSummary(u), records.unpack(u));
            case PROBE ->
                new GossipMessage.Probe(u.unpackString(), u.unpackLong(), unpackEndpoint(u), unpackEndpoint(u));
            case PROBE_ACK -> new GossipMessage.ProbeAck(u.unpackLong());
            case BUCKETS -> new GossipMessage.Buckets(u.unpackString(), u.unpackBoolean(), unpackDigests(u));
            case RECORDS -> new GossipMessage.Records(records.unpack(u));
            case CONFIG_REQUEST -> new GossipMessage.ConfigRequest(u.unpackString());
            case CRASH_REPORTS -> new GossipMessage.CrashReports(u.unpackString(), CrashReportCodec.unpack(u));
            case DEPARTURES ->
                new GossipMessage.Departures(u.unpackString(), u.unpackLong(), NodeDeparturesCodec.unpackAll(u));
            case DEPARTURES_ACK ->
                new GossipMessage.DeparturesAck(
                        u.unpackString(), u.unpackLong(), u.unpackBoolean(), NodeDeparturesCodec.unpackAll(u));
            case CONFIG_UPDATE -> new GossipMessage.ConfigUpdate(ConfigCodec.unpackState(u));
            default -> throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, "datagram of type " + kind);
        };
    }

    private static void packSummary(MessagePacker p, GossipMessage.Summary summary) throws IOException {
        p.packLong(summary.digest()).packLong(summary.configVersion()).packLong(summary.planVersion());
        p.packInt(summary.planAgeMillis()).packLong(summary.crashesFingerprint());
        p.packLong(summary.departuresFingerprint());
    }

    private static GossipMessage.Summary unpackSummary(MessageUnpacker u) throws IOException {
        return new GossipMessage.Summary(
                u.unpackLong(), u.unpackLong(), u.unpackLong(), u.unpackInt(), u.unpackLong(), u.unpackLong());
    }

    private static void packEndpoint(MessagePacker p, Endpoint endpoint) throws IOException {
        p.packString(endpoint.host()).packInt(endpoint.port());
    }

    private static Endpoint unpackEndpoint(MessageUnpacker u) throws IOException {
        return new Endpoint(u.unpackString(), u.unpackInt());
    }

    private static List<Long> unpackDigests(MessageUnpacker u) throws IOException {
        int n = u.unpackArrayHeader();
        if (n != MemberTable.BUCKETS) {
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, n + " buckets");
        }
        List<Long> digests = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            digests.add(u.unpackLong());
        }
        return digests;
    }

    private static void packRecords(MessagePacker p, List<MemberRecord> records) throws IOException {
        p.packArrayHeader(records.size());
        for (MemberRecord r : records) {
            MemberCodec.pack(p, r);
        }
    }
}
