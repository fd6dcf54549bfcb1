package org.verbenadyke.kernel.log;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Tells which history of a log answers speak of. A log that comes back from an older copy of itself has lost what was
 * acknowledged since that copy, and gives the offsets of those records out again; its epoch rises each time. Safe for
 * many threads.
 *
 * <p>Load pattern: the log is away for a moment, and answers of before and after come by several connections in any
 * order. An answer of the history before counts for nothing that came after, and what was learned from it (offsets) is
 * of no use in the new one, also when that has grown past them and no answer says so.
 */
public final class LogEpoch {
    /** The epoch before the first answer, and of answers that name none. */
    public static final long UNNAMED = 0;

    private final List<Listener> listeners = new CopyOnWriteArrayList<>();
    private boolean known;
    private volatile long current = UNNAMED;

    private LogEpoch() {}

    /**
     * Creates the epoch of a log that hasn't answered yet.
     *
     * @return the epoch
     */
    public static LogEpoch unknown() {
        return new LogEpoch();
    }

    /**
     * Subscribes to the news that the history was replaced.
     *
     * @param listener is told of each new epoch
     */
    public void onReplaced(Listener listener) {
        listeners.add(listener);
    }

    /**
     * Returns the newest epoch that an answer named.
     *
     * @return the epoch, {@link #UNNAMED} before the first answer
     */
    public long current() {
        return current;
    }

    /**
     * Takes the epoch that an answer names, before anything else of the answer is looked at.
     *
     * @param asked the epoch that was current when the question was sent
     * @param named the epoch that the answer names
     * @return what the answer is worth
     */
    public Verdict answered(long asked, long named) {
        long before;
        synchronized (this) {
            before = current;
            if (!known) {
                known = true;
                current = named;
                return Verdict.CURRENT;
            }
            // An answer that names none tells nothing, such as one of a machine in between.
            if (named == before || named == UNNAMED) {
                return Verdict.CURRENT;
            }
            if (named < before && asked < before) {
                return Verdict.OUTDATED;
            }
            current = named;
        }
        listeners.forEach(l -> l.replaced(before, named));
        return named > before ? Verdict.REPLACED : Verdict.BACKWARDS;
    }

    /**
     * What an answer is worth.
     */
    public enum Verdict {
        /** It speaks of the history that is known. */
        CURRENT,
        /** It is the first to speak of a new history. */
        REPLACED,
        /** It was on its way while the history was replaced, and counts for nothing. */
        OUTDATED,
        /** It names an older epoch than one known when it was asked for, which no sound log does. */
        BACKWARDS
    }

    /**
     * Takes the news that a log's history was replaced.
     */
    @FunctionalInterface
    public interface Listener {
        /**
         * Takes the news, before the answer that brought it.
         *
         * @param before the epoch until now
         * @param now the epoch from now on
         */
        void replaced(long before, long now);
    }
}
