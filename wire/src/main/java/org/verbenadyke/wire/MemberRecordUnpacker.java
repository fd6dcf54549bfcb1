package org.verbenadyke.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.membership.MemberRecord;

/**
 * Unpacks the member records at the end of a datagram. A record with a value of the wrong type or out of range is left
 * out; since each record has the same number of values, the next record begins after them.
 */
final class MemberRecordUnpacker {
    private static final int MAX_RECORDS = 1_000;

    private final byte[] datagram;
    private final Consumer<String> skipped;

    MemberRecordUnpacker(byte[] datagram, Consumer<String> skipped) {
        this.datagram = datagram;
        this.skipped = skipped;
    }

    List<MemberRecord> unpack(MessageUnpacker first) throws IOException {
        int n = first.unpackArrayHeader();
        if (n > MAX_RECORDS) {
            throw VerbenadykeException.of(ErrorCode.RECORD_UNREADABLE, n + " records");
        }
        List<MemberRecord> records = new ArrayList<>(n);
        MessageUnpacker unpacker = first;
        int base = 0;
        for (int i = 0; i < n; i++) {
            int start = base + (int) unpacker.getTotalReadBytes();
            try {
                records.add(MemberCodec.unpack(unpacker));
            } catch (MessagePackException | IndexOutOfBoundsException | VerbenadykeException e) {
                skipped.accept(String.valueOf(e.getMessage()));
                Optional<MessageUnpacker> next = skipRecord(start);
                if (next.isEmpty()) {
                    return records;
                }
                unpacker = next.get();
                base = start;
            }
        }
        return records;
    }

    /** Returns an unpacker after the record that begins at an offset, empty if the datagram ends within the record. */
    private Optional<MessageUnpacker> skipRecord(int start) throws IOException {
        MessageUnpacker unpacker = Buffers.unpacker(datagram, start);
        try {
            unpacker.skipValue(MemberCodec.VALUES_PER_RECORD);
            return Optional.of(unpacker);
        } catch (MessagePackException e) {
            skipped.accept("all records that follow: " + e.getMessage());
            return Optional.empty();
        }
    }
}
