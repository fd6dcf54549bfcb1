package org.verbenadyke.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.verbenadyke.kernel.departure.DepartedStart;
import org.verbenadyke.kernel.departure.NodeDepartures;
import org.verbenadyke.kernel.departure.UpstreamStart;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.membership.GossipMessage;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.quarantine.CrashReport;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests {@link GossipCodec} and {@link MemberCodec}, mainly with invalid records. */
final class GossipCodecTest {
    private static final byte RECORDS = 5;
    private static final NodeDepartures DEPARTED = new NodeDepartures(
            "n",
            List.of(
                    new DepartedStart(new UpstreamStart("a", OptionalLong.of(100)), DepartedStart.FINAL, 5),
                    new DepartedStart(new UpstreamStart("b", OptionalLong.empty()), 7, 4)));
    private static final int SEED = 42;
    private static final int TRIES = 5_000;

    @ParameterizedTest
    @EnumSource(Invalid.class)
    void decodesTheRecordsAroundAnInvalidOne(Invalid invalid) throws IOException {
        GossipMessage.Records decoded = (GossipMessage.Records) GossipCodec.decode(datagram(invalid));
        assertEquals(
                List.of("a", "c"),
                decoded.records().stream().map(MemberRecord::nodeId).toList());
    }

    @ParameterizedTest
    @EnumSource(Invalid.class)
    void rejectsAnInvalidRecordAlone(Invalid invalid) throws IOException {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            packInvalid(p, invalid);
            byte[] bytes = p.toByteArray();
            assertThrows(VerbenadykeException.class, () -> MemberCodec.create().decode(bytes));
        }
    }

    @Test
    void decodesAllValidRecords() {
        GossipMessage.Rumor rumor = new GossipMessage.Rumor(
                "n", 7, new GossipMessage.Summary(1, 2, 3, 4, 5, 6), List.of(member("a"), member("b"), member("c")));
        assertEquals(rumor, GossipCodec.decode(GossipCodec.encode(rumor)));
        assertEquals(
                member("a"), MemberCodec.create().decode(MemberCodec.create().encode(member("a"))));
    }

    @Test
    void decodesCrashReportsAndRejectsANegativeAge() {
        GossipMessage.CrashReports crashes = new GossipMessage.CrashReports(
                "n",
                List.of(
                        new CrashReport(
                                "u", false, 7, List.of(new RequestDigest(-1, 2, 3), new RequestDigest(4, 5, 6))),
                        new CrashReport("u", true, 0, List.of())));
        assertEquals(crashes, GossipCodec.decode(GossipCodec.encode(crashes)));
        GossipMessage.CrashReports invalid =
                new GossipMessage.CrashReports("n", List.of(new CrashReport("u", false, -1, List.of())));
        byte[] bytes = GossipCodec.encode(invalid);
        assertThrows(VerbenadykeException.class, () -> GossipCodec.decode(bytes));
    }

    @Test
    void decodesDepartures() {
        List<NodeDepartures> departures = List.of(DEPARTED, NodeDepartures.none("m"));
        GossipMessage.Departures told = new GossipMessage.Departures("n", 7, departures);
        assertEquals(told, GossipCodec.decode(GossipCodec.encode(told)));
        GossipMessage.DeparturesAck ack = new GossipMessage.DeparturesAck("n", 7, true, departures);
        assertEquals(ack, GossipCodec.decode(GossipCodec.encode(ack)));
    }

    @Test
    void distinguishesDeparturesFromOtherRecordsOnTheLog() {
        byte[] bytes = NodeDeparturesCodec.create().encode(DEPARTED);
        assertEquals(DEPARTED, NodeDeparturesCodec.create().decode(bytes));
        assertThrows(VerbenadykeException.class, () -> MemberCodec.create().decode(bytes));
        assertThrows(
                VerbenadykeException.class,
                () -> QuarantinedRequestCodec.create().decode(bytes));
        byte[] member = MemberCodec.create().encode(member("a"));
        assertThrows(
                VerbenadykeException.class, () -> NodeDeparturesCodec.create().decode(member));
    }

    @Test
    void distinguishesQuarantinedRequestsFromMembersOnTheLog() {
        QuarantinedRequest quarantined = new QuarantinedRequest(
                new RequestDigest(-1, 2, 3),
                List.of(
                        new QuarantinedRequest.Crash("u", false, 1_800_000_000_000L),
                        new QuarantinedRequest.Crash("v", true, 5)));
        byte[] quarantinedBytes = QuarantinedRequestCodec.create().encode(quarantined);
        byte[] memberBytes = MemberCodec.create().encode(member("a"));
        assertEquals(quarantined, QuarantinedRequestCodec.create().decode(quarantinedBytes));
        assertThrows(VerbenadykeException.class, () -> MemberCodec.create().decode(quarantinedBytes));
        assertThrows(
                VerbenadykeException.class,
                () -> QuarantinedRequestCodec.create().decode(memberBytes));
        assertThrows(
                VerbenadykeException.class,
                () -> QuarantinedRequestCodec.create().decode(Arrays.copyOf(quarantinedBytes, 9)));
    }

    @Test
    void garbledDatagramsGiveATypedError() {
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < TRIES; i++) {
            byte[] datagram = GossipCodec.encode(new GossipMessage.Records(List.of(member("a"), member("b"))));
            datagram[random.nextInt(datagram.length)] = (byte) random.nextInt();
            decodesOrRejects(Arrays.copyOf(datagram, datagram.length - random.nextInt(datagram.length)));
        }
    }

    @Test
    void madeUpDatagramsGiveATypedError() {
        SplittableRandom random = new SplittableRandom(SEED);
        for (int i = 0; i < TRIES; i++) {
            byte[] bytes = new byte[random.nextInt(80)];
            random.nextBytes(bytes);
            decodesOrRejects(bytes);
        }
    }

    private static void decodesOrRejects(byte[] bytes) {
        try {
            assertNotNull(GossipCodec.decode(bytes));
        } catch (VerbenadykeException e) {
            assertNotNull(e.getMessage());
        }
    }

    private static byte[] datagram(Invalid invalid) throws IOException {
        try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
            p.packByte(RECORDS).packArrayHeader(3);
            p.addPayload(MemberCodec.create().encode(member("a")));
            packInvalid(p, invalid);
            p.addPayload(MemberCodec.create().encode(member("c")));
            return p.toByteArray();
        }
    }

    /** Packs the fields of a record in order, one of them with an invalid value. */
    private static void packInvalid(MessageBufferPacker p, Invalid invalid) throws IOException {
        List<Object> fields = new ArrayList<>(
                List.of("b", 1L << 60, 0L, 0L, "127.0.0.1", 80L, "127.0.0.1", 81L, "r", "d", "s", 5L, 0L));
        fields.set(invalid.field, invalid.value);
        for (Object field : fields) {
            if (field instanceof String text) {
                p.packString(text);
            } else {
                p.packLong((Long) field);
            }
        }
    }

    private static MemberRecord member(String id) {
        Endpoint here = new Endpoint("127.0.0.1", 80);
        return new MemberRecord(id, 1L << 60, 3, MemberState.ALIVE, here, here, new Location("r", "d"), "s", 5, 0);
    }

    /** The invalid values that a record is tested with. */
    private enum Invalid {
        ID_OF_ANOTHER_TYPE(0, 7L),
        ID_EMPTY(0, ""),
        INCARNATION_OF_ANOTHER_TYPE(1, "x"),
        INCARNATION_NEGATIVE(1, -1L),
        INCARNATION_THAT_NONE_CAN_OUTRANK(1, Long.MAX_VALUE),
        VERSION_OF_ANOTHER_TYPE(2, "x"),
        VERSION_NEGATIVE(2, -1L),
        VERSION_THAT_NONE_CAN_OUTRANK(2, Long.MAX_VALUE),
        STATE_OF_ANOTHER_TYPE(3, "ALIVE"),
        STATE_UNNAMED(3, 99L),
        STATE_NEGATIVE(3, -1L),
        HOST_OF_ANOTHER_TYPE(4, 7L),
        HOST_EMPTY(4, ""),
        PORT_OF_ANOTHER_TYPE(5, "80"),
        PORT_ZERO(5, 0L),
        PORT_TOO_HIGH(5, 70_000L),
        CONTROL_PORT_NEGATIVE(7, -1L),
        REGION_OF_ANOTHER_TYPE(8, 7L),
        SERVICE_OF_ANOTHER_TYPE(10, 7L),
        TIME_OF_ANOTHER_TYPE(11, "now"),
        EPOCH_NEGATIVE(12, -1L),
        EPOCH_TOO_HIGH(12, 1L << 40);

        private final int field;
        private final Object value;

        Invalid(int field, Object value) {
            this.field = field;
            this.value = value;
        }
    }
}
