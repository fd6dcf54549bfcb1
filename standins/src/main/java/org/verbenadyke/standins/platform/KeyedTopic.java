package org.verbenadyke.standins.platform;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * One topic of the stand-in store: the records in order, which can be compacted away, and the latest record of each
 * key. Safe for many threads.
 */
final class KeyedTopic {
    /** The longest page of records, in bytes, apart from a first record that is longer. */
    static final int MAX_PAGE_BYTES = 1024 * 1024;

    private static final int PREFIX_BYTES = 2 * Long.BYTES;

    private final List<Entry> records = new ArrayList<>();
    private final TreeMap<String, Entry> latestByKey = new TreeMap<>();
    private long firstOffset;

    synchronized long append(String key, byte[] value) {
        Entry entry = new Entry(endOffset(), key, value);
        records.add(entry);
        if (value.length == 0) {
            latestByKey.remove(key);
        } else {
            latestByKey.put(key, entry);
        }
        return entry.offset();
    }

    synchronized long endOffset() {
        return firstOffset + records.size();
    }

    synchronized long firstOffset() {
        return firstOffset;
    }

    /** Drops the record history; the latest record of each key stays. */
    synchronized void compact() {
        firstOffset = endOffset();
        records.clear();
    }

    /** Returns an independent copy of the topic. */
    synchronized KeyedTopic copy() {
        KeyedTopic copy = new KeyedTopic();
        copy.records.addAll(records);
        copy.latestByKey.putAll(latestByKey);
        copy.firstOffset = firstOffset;
        return copy;
    }

    synchronized Collection<Entry> latest() {
        return List.copyOf(latestByKey.values());
    }

    /** Returns the latest records of the keys after another one, in the order of their keys. */
    synchronized Collection<Entry> latestAfter(String key) {
        return List.copyOf(latestByKey.tailMap(key, false).values());
    }

    /** Returns the body of a read response: end offset, first offset, and one page of the records from an offset on. */
    synchronized byte[] read(long from) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(endOffset());
            out.writeLong(firstOffset);
            for (Entry e : records.subList((int) (from - firstOffset), records.size())) {
                byte[] key = e.key().getBytes(StandardCharsets.UTF_8);
                if (out.size() > PREFIX_BYTES && out.size() + key.length + e.value().length > MAX_PAGE_BYTES) {
                    break;
                }
                out.writeInt(1 + key.length + e.value().length);
                out.writeByte(key.length);
                out.write(key);
                out.write(e.value());
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * A record.
     *
     * @param offset the record's offset in the topic
     * @param key the key
     * @param value the value; empty deletes the key
     */
    record Entry(long offset, String key, byte[] value) {}
}
