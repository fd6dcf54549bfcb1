package org.verbenadyke.standins.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One stream of the stand-in log, kept in memory. Safe for many threads.
 */
final class LogStream {
    private final Deque<Stored> records = new ArrayDeque<>();
    private long next;

    synchronized long append(byte[] bytes, long nowMillis) {
        records.addLast(new Stored(next, bytes, nowMillis));
        return next++;
    }

    synchronized long next() {
        return next;
    }

    synchronized long first() {
        return records.isEmpty() ? next : records.getFirst().offset();
    }

    synchronized List<Stored> from(long offset, int most) {
        List<Stored> found = new ArrayList<>();
        for (Stored r : records) {
            if (r.offset() >= offset && found.size() < most) {
                found.add(r);
            }
        }
        return found;
    }

    /** Drops records older than a time or beyond a count. */
    synchronized void retain(long oldestMillis, int most) {
        while (!records.isEmpty() && (records.getFirst().at() < oldestMillis || records.size() > most)) {
            records.removeFirst();
        }
    }

    /**
     * A record.
     *
     * @param offset its offset
     * @param bytes its content
     * @param at when it was appended, in milliseconds
     */
    record Stored(long offset, byte[] bytes, long at) {}
}
