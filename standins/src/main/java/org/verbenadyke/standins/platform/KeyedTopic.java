package org.verbenadyke.standins.platform;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One topic of the store's stand-in: records in order, of which old ones can be forgotten, and the newest of each key.
 */
final class KeyedTopic {
    private final List<Entry> records = new ArrayList<>();
    private final Map<String, Entry> newest = new TreeMap<>();
    private long first;

    synchronized long append(String key, byte[] value) {
        Entry entry = new Entry(end(), key, value);
        records.add(entry);
        if (value.length == 0) {
            newest.remove(key);
        } else {
            newest.put(key, entry);
        }
        return entry.offset();
    }

    synchronized long end() {
        return first + records.size();
    }

    synchronized long first() {
        return first;
    }

    /** Forgets the history; the newest of each key stays. */
    synchronized void compact() {
        first = end();
        records.clear();
    }

    /** Takes a copy. */
    synchronized KeyedTopic copy() {
        KeyedTopic copy = new KeyedTopic();
        copy.records.addAll(records);
        copy.newest.putAll(newest);
        copy.first = first;
        return copy;
    }

    synchronized Collection<Entry> newest() {
        return List.copyOf(newest.values());
    }

    /** Returns the answer of a read: end, first offset, and the records from an offset on. */
    synchronized byte[] read(long from) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(end());
            out.writeLong(first);
            for (Entry e : records.subList((int) (from - first), records.size())) {
                byte[] key = e.key().getBytes(StandardCharsets.UTF_8);
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
     * One record.
     *
     * @param offset its number
     * @param key its key
     * @param value its value, empty to drop the key
     */
    record Entry(long offset, String key, byte[] value) {}
}
