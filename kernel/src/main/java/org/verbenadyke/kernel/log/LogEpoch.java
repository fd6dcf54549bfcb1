package org.verbenadyke.kernel.log;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Detects which history of a log an answer refers to. A log that was restored from an older copy has lost the records
 * acknowledged since that copy, and assigns their offsets again; its epoch rises with each restore. Thread-safe.
 *
 * <p>Load pattern: the log is unavailable for a moment, and answers from before and after arrive over several
 * connections in any order. An answer of the previous history must not be applied to the new one, and offsets learned
 * from it are invalid there, even if the new history has grown past them and no answer shows it.
 */
public final class LogEpoch {
    /** The epoch before the first answer, and of answers without an epoch. */
    public static final long UNNAMED = 0;

    private final List<Listener> listeners = new CopyOnWriteArrayList<>();
    private boolean initialized;
    private volatile long current = UNNAMED;

    private LogEpoch() {}

    /**
     * Creates an instance for a log that hasn't answered yet.
     *
     * @return the instance
     */
    public static LogEpoch create() {
        return new LogEpoch();
    }

    /**
     * Subscribes to replacements of the history.
     *
     * @param listener called with each new epoch
     */
    public void onReplaced(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Returns the current epoch.
     *
     * @return the epoch, {@link #UNNAMED} before the first answer
     */
    public long current() {
        return current;
    }

    /**
     * Handles the epoch of an answer. Must be called before any other part of the answer is used.
     *
     * @param requested the epoch that was current when the request was sent
     * @param named the epoch that the answer names
     * @return whether the answer may be used
     */
    public Verdict checkAnswer(long requested, long named) {
        long before;
        synchronized (this) {
            before = current;
            if (!initialized) {
                initialized = true;
                current = named;
                return Verdict.CURRENT;
            }
            // An answer without an epoch, such as one of an intermediary, says nothing about the history.
            if (named == before || named == UNNAMED) {
                return Verdict.CURRENT;
            }
            if (named < before && requested < before) {
                return Verdict.OUTDATED;
            }
            current = named;
        }
        listeners.forEach(l -> l.replaced(before, named));
        return named > before ? Verdict.REPLACED : Verdict.BACKWARDS;
    }

    /**
     * States whether an answer may be used.
     */
    public enum Verdict {
        /** The answer belongs to the current history. */
        CURRENT,
        /** The answer is the first one of a new history. */
        REPLACED,
        /** The history was replaced while the answer was in transit; the answer must be ignored. */
        OUTDATED,
        /** The answer names an older epoch than the one known when it was requested, which no correct log does. */
        BACKWARDS
    }

    /**
     * Is notified when the history of a log is replaced.
     */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when the history was replaced, before the answer that revealed it is used.
         *
         * @param before the previous epoch
         * @param now the new epoch
         */
        void replaced(long before, long now);
    }
}
