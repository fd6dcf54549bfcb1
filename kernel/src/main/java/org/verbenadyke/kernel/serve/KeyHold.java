package org.verbenadyke.kernel.serve;

import java.util.Optional;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * The claim that a call has on its key, if it has one. After a hand-over the key becomes free again only when the
 * upstream provably did not run the attempt, or reported so by answering that it is unavailable.
 */
final class KeyHold {
    private static final int UNAVAILABLE = 503;

    private final KeyTable keys;
    private final Ledger ledger;
    private final String key;
    private boolean claimed;

    KeyHold(KeyTable keys, Ledger ledger, String key) {
        this.keys = keys;
        this.ledger = ledger;
        this.key = key;
    }

    /** Records that the call has the key. */
    void claim() {
        claimed = true;
    }

    /** Frees the key of a call that was not handed over. */
    void withdraw(Refusal refusal) {
        if (claimed) {
            keys.withdraw(key, new StoredOutcome.NoAnswer(refusal));
        }
    }

    /** Settles the key of a call that was handed over. */
    void settle(Optional<Refusal> refusal, StoredOutcome answer, long now) {
        if (!claimed) {
            return;
        }
        boolean notRun = refusal.map(r -> r.state() == RunState.NOT_RUN)
                .orElseGet(() -> answer.completeAnswer()
                        .filter(a -> a.status() == UNAVAILABLE)
                        .isPresent());
        if (notRun) {
            ledger.keyFreed(key);
            keys.withdraw(
                    key, refusal.<StoredOutcome>map(StoredOutcome.NoAnswer::new).orElse(answer));
            return;
        }
        if (refusal.isPresent()) {
            keys.settle(key, new StoredOutcome.NoAnswer(Refusal.mayHaveRun(RefusalReason.KEY_OUTCOME_UNKNOWN)), now);
            return;
        }
        keys.settle(key, answer, now);
    }
}
