package org.verbenadyke.kernel.once;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;

/**
 * The idempotency keys of this node. Each key is claimed by one attempt; later attempts get its outcome. A key is
 * retained for the retention time after its last change. Thread-safe.
 */
public final class KeyTable {
    /** The limit of the answers that all keys retain together, in bytes. */
    static final long MAX_ANSWER_BYTES = 8L * 1024 * 1024;

    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final SettledAnswers<Entry> answers = SettledAnswers.of(MAX_ANSWER_BYTES);
    private final long retentionNanos;

    private KeyTable(long retentionNanos) {
        this.retentionNanos = retentionNanos;
    }

    /**
     * Creates an empty table.
     *
     * @param retentionNanos how long a key is retained, in nanoseconds
     * @return the table
     */
    public static KeyTable withRetention(long retentionNanos) {
        return new KeyTable(retentionNanos);
    }

    /**
     * Claims a key for an attempt.
     *
     * @param key the key
     * @param fingerprint a hash of the request
     * @param nowNanos the time
     * @return the result of the claim
     */
    public Claim claim(String key, long fingerprint, long nowNanos) {
        Entry claimed = new Entry(fingerprint, nowNanos);
        Entry existing = entries.putIfAbsent(key, claimed);
        if (existing == null) {
            return new Claim.Granted();
        }
        if (existing.sealed) {
            return new Claim.Sealed();
        }
        if (existing.fingerprint != fingerprint) {
            return new Claim.Reused();
        }
        return new Claim.Taken(existing::onOutcome);
    }

    /**
     * Returns whether the table contains a key in any state: claimed, settled or sealed.
     *
     * @param key the key
     * @return whether it does
     */
    public boolean contains(String key) {
        return entries.containsKey(key);
    }

    /**
     * Withdraws the claim of an attempt that is known not to have run, so that the key can be claimed again.
     *
     * @param key the key
     * @param outcome the outcome reported to attempts that wait for the claim
     */
    public void withdraw(String key, StoredOutcome outcome) {
        Optional.ofNullable(entries.remove(key)).ifPresent(e -> e.finish(outcome, e.changedNanos));
    }

    /**
     * Settles a claimed key.
     *
     * @param key the key
     * @param outcome the outcome that all later attempts get
     * @param nowNanos the time
     */
    public void settle(String key, StoredOutcome outcome, long nowNanos) {
        Optional.ofNullable(entries.get(key)).ifPresent(e -> {
            e.finish(outcome, nowNanos);
            retain(e);
        });
    }

    /**
     * Adopts a key that another node settled. The key's outcome replaces the seal, if this node had sealed the key.
     *
     * @param key the key
     * @param fingerprint a hash of the request
     * @param outcome its outcome
     * @param nowNanos the time
     */
    public void adopt(String key, long fingerprint, StoredOutcome outcome, long nowNanos) {
        Entry entry = new Entry(fingerprint, nowNanos);
        entry.finish(outcome, nowNanos);
        if (entries.merge(key, entry, (known, adopted) -> known.sealed ? adopted : known) == entry) {
            retain(entry);
        }
    }

    private void retain(Entry entry) {
        int bytes = entry.answerBytes();
        if (bytes > 0) {
            answers.add(entry, bytes);
        }
    }

    /**
     * Looks up a key for its new owner. An unknown key is sealed, so that this node never runs it from now on.
     *
     * @param key the key
     * @param nowNanos the time
     * @return the entry, empty when the key was never claimed here
     */
    public Optional<ClaimedKey> lookUpOrSeal(String key, long nowNanos) {
        Entry seal = Entry.seal(nowNanos);
        Entry existing = entries.putIfAbsent(key, seal);
        if (existing == null || existing.sealed) {
            return Optional.empty();
        }
        return Optional.of(new ClaimedKey(key, existing.fingerprint, existing::onOutcome));
    }

    /**
     * Returns the keys that were claimed here, which a planned stop transfers to other nodes.
     *
     * @return every key that isn't sealed
     */
    public List<ClaimedKey> claimedKeys() {
        List<ClaimedKey> claimed = new ArrayList<>();
        entries.forEach((key, e) -> {
            if (!e.sealed) {
                claimed.add(new ClaimedKey(key, e.fingerprint, e::onOutcome));
            }
        });
        return claimed;
    }

    /**
     * Removes keys past their retention. Keys whose attempt is still running stay.
     *
     * @param nowNanos the time
     */
    public void expire(long nowNanos) {
        entries.values().removeIf(e -> {
            boolean expired = e.expired(nowNanos, retentionNanos);
            if (expired) {
                answers.remove(e);
            }
            return expired;
        });
    }

    /**
     * Returns the number of keys in the table.
     *
     * @return the size
     */
    public int size() {
        return entries.size();
    }

    /**
     * A claimed key with access to its outcome.
     *
     * @param key the key
     * @param fingerprint a hash of the request
     * @param outcome calls its argument back once with the outcome, immediately if the outcome is known
     */
    public record ClaimedKey(String key, long fingerprint, Consumer<Consumer<StoredOutcome>> outcome) {}

    /**
     * The result of a claim.
     */
    public sealed interface Claim {
        /** The key is claimed; the attempt must settle or withdraw it. */
        record Granted() implements Claim {}

        /**
         * Another attempt claimed the key.
         *
         * @param outcome calls its argument back once with the outcome of that attempt, immediately if it is known
         */
        record Taken(Consumer<Consumer<StoredOutcome>> outcome) implements Claim {}

        /** The key was used for a different request. */
        record Reused() implements Claim {}

        /** The key is sealed because another node owns it now. */
        record Sealed() implements Claim {}
    }

    /**
     * The state of one key.
     */
    private static final class Entry implements SettledAnswers.Holder {
        private final long fingerprint;
        private final boolean sealed;
        private final List<Consumer<StoredOutcome>> waiting = new ArrayList<>();
        private long changedNanos;
        private StoredOutcome outcome;

        private Entry(long fingerprint, long now) {
            this(fingerprint, now, false);
        }

        private Entry(long fingerprint, long now, boolean sealed) {
            this.fingerprint = fingerprint;
            this.changedNanos = now;
            this.sealed = sealed;
        }

        static Entry seal(long now) {
            return new Entry(0, now, true);
        }

        void onOutcome(Consumer<StoredOutcome> listener) {
            synchronized (this) {
                if (outcome == null) {
                    waiting.add(listener);
                    return;
                }
            }
            listener.accept(known());
        }

        private synchronized StoredOutcome known() {
            return outcome;
        }

        void finish(StoredOutcome answer, long now) {
            List<Consumer<StoredOutcome>> callbacks;
            synchronized (this) {
                if (outcome != null) {
                    return;
                }
                outcome = answer;
                changedNanos = now;
                callbacks = List.copyOf(waiting);
                waiting.clear();
            }
            callbacks.forEach(c -> c.accept(answer));
        }

        /** Returns the size of the retained answer, 0 if there is none. */
        synchronized int answerBytes() {
            return outcome instanceof StoredOutcome.CompleteAnswer a ? a.body().length : 0;
        }

        @Override
        public synchronized void dropAnswer() {
            outcome = new StoredOutcome.NoAnswer(new Refusal(RunState.RAN, RefusalReason.KEY_OUTCOME_UNKNOWN, 0));
        }

        synchronized boolean expired(long now, long retention) {
            return (outcome != null || sealed) && now - changedNanos > retention;
        }
    }
}
