package org.verbenadyke.kernel.once;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the memory of the answers that settled keys retain. The oldest answers give way to newer ones; a key whose
 * answer is gone stays settled, with an unknown outcome. Thread-safe.
 *
 * @param <K> the type of the entries that hold the answers
 */
final class SettledAnswers<K extends SettledAnswers.Holder> {
    private final long limitBytes;
    private final Map<K, Integer> bytesByHolder = new LinkedHashMap<>();
    private long heldBytes;

    private SettledAnswers(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    static <K extends Holder> SettledAnswers<K> of(long limitBytes) {
        return new SettledAnswers<>(limitBytes);
    }

    /** Adds the answer of an entry, in place of older ones if they don't all fit. */
    synchronized void add(K holder, int bytes) {
        if (bytesByHolder.putIfAbsent(holder, bytes) != null) {
            return;
        }
        heldBytes += bytes;
        Iterator<Map.Entry<K, Integer>> oldest = bytesByHolder.entrySet().iterator();
        while (heldBytes > limitBytes && oldest.hasNext()) {
            Map.Entry<K, Integer> next = oldest.next();
            oldest.remove();
            heldBytes -= next.getValue();
            next.getKey().dropAnswer();
        }
    }

    /** Removes an entry that is gone. */
    synchronized void remove(K holder) {
        Integer bytes = bytesByHolder.remove(holder);
        heldBytes -= bytes == null ? 0 : bytes;
    }

    /** Returns the bytes of all answers. */
    synchronized long heldBytes() {
        return heldBytes;
    }

    /** An entry that holds an answer. */
    interface Holder {
        /** Called when there is no memory for the answer any more. */
        void dropAnswer();
    }
}
