package org.verbenadyke.standins.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One stream of the stand-in log, kept in memory. Safe for many threads.
 */
final class LogStream {
    private final Deque<StoredRecord> records = new ArrayDeque<>();
    private long nextOffset;

    synchronized long append(byte[] bytes, long nowMillis) {
        records.addLast(new StoredRecord(nextOffset, bytes, nowMillis));
        return nextOffset++;
    }

    synchronized long nextOffset() {
        return nextOffset;
    }

    synchronized long firstOffset() {
        return records.isEmpty() ? nextOffset : records.getFirst().offset();
    }

    synchronized List<StoredRecord> readFrom(long offset, int maxRecords) {
        List<StoredRecord> found = new ArrayList<>();
        for (StoredRecord r : records) {
            if (r.offset() >= offset && found.size() < maxRecords) {
                found.add(r);
            }
        }
        return found;
    }

    /** Drops the records appended before a time, and the oldest ones beyond a count. */
    synchronized void retain(long oldestMillis, int maxRecords) {
        while (!records.isEmpty()
                && (records.getFirst().appendedMillis() < oldestMillis || records.size() > maxRecords)) {
            records.removeFirst();
        }
    }

    /**
     * A stored record.
     *
     * @param offset the record's offset in the stream
     * @param bytes the record's content
     * @param appendedMillis when the record was appended, in milliseconds since the epoch
     */
    record StoredRecord(long offset, byte[] bytes, long appendedMillis) {}
}
