package org.verbenadyke.kernel.serve;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory of the answers that are stored to be sent again: those that are being received and, for the time in
 * which they may be inquired about, the complete ones. The oldest complete answers give way to newer ones; a call whose
 * answer is gone is reported as one that ran. Thread-safe.
 */
final class AnswerMemory {
    private final long limitBytes;
    private final Set<StoredAnswer> complete = new LinkedHashSet<>();
    private long heldBytes;

    private AnswerMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Creates a memory in which nothing is stored, with a limit in bytes. */
    static AnswerMemory of(long limitBytes) {
        return new AnswerMemory(limitBytes);
    }

    /** Reserves bytes for an answer that is being received, and returns whether they fit. */
    synchronized boolean reserve(int bytes) {
        Iterator<StoredAnswer> oldest = complete.iterator();
        while (heldBytes + bytes > limitBytes && oldest.hasNext()) {
            StoredAnswer answer = oldest.next();
            oldest.remove();
            heldBytes -= answer.drop();
        }
        if (heldBytes + bytes > limitBytes) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /** Releases reserved bytes of an answer that isn't stored after all. */
    synchronized void release(int bytes) {
        heldBytes -= bytes;
    }

    /** Takes over the reservation of an answer that is complete. */
    synchronized void add(StoredAnswer answer) {
        complete.add(answer);
    }

    /** Drops an answer that nobody inquires about any more. */
    synchronized void remove(StoredAnswer answer) {
        if (complete.remove(answer)) {
            heldBytes -= answer.drop();
        }
    }

    /** Returns the bytes of all stored answers. */
    synchronized long heldBytes() {
        return heldBytes;
    }
}
