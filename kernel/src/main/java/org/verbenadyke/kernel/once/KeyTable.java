package org.verbenadyke.kernel.once;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * The idempotency keys that this node owns: each is claimed by one try, and later tries get that one's outcome. Keys
 * are kept for the retention after their last change. Safe for many threads.
 */
public final class KeyTable {
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final long retentionNanos;

    private KeyTable(long retentionNanos) {
        this.retentionNanos = retentionNanos;
    }

    /**
     * Creates an empty table.
     *
     * @param retentionNanos how long a key is kept, in nanoseconds
     * @return the table
     */
    public static KeyTable withRetention(long retentionNanos) {
        return new KeyTable(retentionNanos);
    }

    /**
     * Claims a key for a try.
     *
     * @param key the key
     * @param fingerprint a hash of what the try asks for
     * @param nowNanos the time
     * @return what came of it
     */
    public Claim claim(String key, long fingerprint, long nowNanos) {
        Entry mine = new Entry(fingerprint, nowNanos);
        Entry seen = entries.putIfAbsent(key, mine);
        if (seen == null) {
            return new Claim.Granted();
        }
        if (seen.sealed) {
            return new Claim.Sealed();
        }
        if (seen.fingerprint != fingerprint) {
            return new Claim.Reused();
        }
        return new Claim.Taken(seen::whenDone);
    }

    /**
     * Tells whether a key is known, be it claimed, settled or given away.
     *
     * @param key the key
     * @return whether it is
     */
    public boolean contains(String key) {
        return entries.containsKey(key);
    }

    /**
     * Gives a claim back, since the try was provably not handed over. Waiting tries are told so.
     *
     * @param key the key
     * @param outcome what the waiting tries are told
     */
    public void withdraw(String key, StoredOutcome outcome) {
        Optional.ofNullable(entries.remove(key)).ifPresent(e -> e.finish(outcome, e.changed));
    }

    /**
     * Settles a claimed key.
     *
     * @param key the key
     * @param outcome the outcome that all later tries get
     * @param nowNanos the time
     */
    public void settle(String key, StoredOutcome outcome, long nowNanos) {
        Optional.ofNullable(entries.get(key)).ifPresent(e -> e.finish(outcome, nowNanos));
    }

    /**
     * Takes over a key that another node settled. It replaces the seal of a key that this node had given to that node.
     *
     * @param key the key
     * @param fingerprint a hash of what its try asked for
     * @param outcome its outcome
     * @param nowNanos the time
     */
    public void adopt(String key, long fingerprint, StoredOutcome outcome, long nowNanos) {
        Entry entry = new Entry(fingerprint, nowNanos);
        entry.finish(outcome, nowNanos);
        entries.merge(key, entry, (known, adopted) -> known.sealed ? adopted : known);
    }

    /**
     * Looks a key up for its new owner. A key that isn't known is sealed: this node will not run it any more.
     *
     * @param key the key
     * @param nowNanos the time
     * @return the known entry, empty when the key was never claimed here
     */
    public Optional<Known> surrender(String key, long nowNanos) {
        Entry seal = Entry.seal(nowNanos);
        Entry seen = entries.putIfAbsent(key, seal);
        if (seen == null || seen.sealed) {
            return Optional.empty();
        }
        return Optional.of(new Known(key, seen.fingerprint, seen::whenDone));
    }

    /**
     * Lists what a planned stop hands on.
     *
     * @return every key that was claimed here
     */
    public List<Known> known() {
        List<Known> known = new ArrayList<>();
        entries.forEach((key, e) -> {
            if (!e.sealed) {
                known.add(new Known(key, e.fingerprint, e::whenDone));
            }
        });
        return known;
    }

    /**
     * Forgets keys past their retention; running ones stay.
     *
     * @param nowNanos the time
     */
    public void expire(long nowNanos) {
        entries.values().removeIf(e -> e.expired(nowNanos, retentionNanos));
    }

    /**
     * Returns the size.
     *
     * @return how many keys are kept
     */
    public int size() {
        return entries.size();
    }

    /**
     * A key and how to learn its outcome.
     *
     * @param key the key
     * @param fingerprint a hash of what its try asked for
     * @param outcome calls back once, at once when the outcome is known
     */
    public record Known(String key, long fingerprint, Consumer<Consumer<StoredOutcome>> outcome) {}

    /**
     * What came of a claim.
     */
    public sealed interface Claim {
        /** The key is claimed; the try must settle or withdraw it. */
        record Granted() implements Claim {}

        /**
         * Another try has the key.
         *
         * @param outcome calls back once with that try's outcome, at once when it is known
         */
        record Taken(Consumer<Consumer<StoredOutcome>> outcome) implements Claim {}

        /** The key was used for something else. */
        record Reused() implements Claim {}

        /** The key was given away to another owner. */
        record Sealed() implements Claim {}
    }

    /**
     * The state of one key.
     */
    private static final class Entry {
        private final long fingerprint;
        private final boolean sealed;
        private final List<Consumer<StoredOutcome>> waiting = new ArrayList<>();
        private long changed;
        private StoredOutcome outcome;

        private Entry(long fingerprint, long now) {
            this(fingerprint, now, false);
        }

        private Entry(long fingerprint, long now, boolean sealed) {
            this.fingerprint = fingerprint;
            this.changed = now;
            this.sealed = sealed;
        }

        static Entry seal(long now) {
            return new Entry(0, now, true);
        }

        void whenDone(Consumer<StoredOutcome> listener) {
            synchronized (this) {
                if (outcome == null) {
                    waiting.add(listener);
                    return;
                }
            }
            listener.accept(outcome);
        }

        void finish(StoredOutcome answer, long now) {
            List<Consumer<StoredOutcome>> told;
            synchronized (this) {
                if (outcome != null) {
                    return;
                }
                outcome = answer;
                changed = now;
                told = List.copyOf(waiting);
                waiting.clear();
            }
            told.forEach(w -> w.accept(answer));
        }

        synchronized boolean expired(long now, long retention) {
            return (outcome != null || sealed) && now - changed > retention;
        }
    }
}
