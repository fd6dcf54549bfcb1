package org.verbenadyke.kernel.serve;

import java.util.Optional;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.ledger.Ledger;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * Settles a key after its try was handed over: the key is free again only when the upstream provably did not run the
 * try, or said so by answering that it is unavailable.
 */
final class KeySettlement {
    private static final int UNAVAILABLE = 503;

    private KeySettlement() {}

    static void settle(
            KeyTable keys, Ledger ledger, String key, Optional<Refusal> refusal, StoredOutcome answer, long now) {
        boolean notRun = refusal.map(r -> r.state() == RunState.NOT_RUN)
                .orElseGet(() -> answer.completeAnswer()
                        .filter(w -> w.status() == UNAVAILABLE)
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
