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
 * Unpacks the member records that end a datagram. A record with a value of another type or out of range is left out; as
 * each record has the same number of values, the next begins after them.
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
        MessageUnpacker in = first;
        int base = 0;
        for (int i = 0; i < n; i++) {
            int start = base + (int) in.getTotalReadBytes();
            try {
                records.add(MemberCodec.unpack(in));
            } catch (MessagePackException | IndexOutOfBoundsException | VerbenadykeException e) {
                skipped.accept(String.valueOf(e.getMessage()));
                Optional<MessageUnpacker> after = skipRecord(start);
                if (after.isEmpty()) {
                    return records;
                }
                in = after.get();
                base = start;
            }
        }
        return records;
    }

    /** Goes on after the record that begins at some byte, unless the datagram ends in it. */
    private Optional<MessageUnpacker> skipRecord(int start) throws IOException {
        MessageUnpacker in = Buffers.unpacker(datagram, start);
        try {
            in.skipValue(MemberCodec.VALUES_PER_RECORD);
            return Optional.of(in);
        } catch (MessagePackException e) {
            skipped.accept("all that follows: " + e.getMessage());
            return Optional.empty();
        }
    }
}
