package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.concurrent.Serial;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.once.KeptAnswer;
import org.verbenadyke.kernel.once.KeyTable;

/**
 * Claims the idempotency key of a call before it may wait for a slot, or gives it the outcome of an earlier try.
 */
final class KeyedAttempt {
    private final CallServer server;
    private final LocalUpstream local;
    private final Message.Call call;
    private final Serial serial;
    private final Host host;

    private KeyedAttempt(CallServer server, LocalUpstream local, Message.Call call, Serial serial, Host host) {
        this.server = server;
        this.local = local;
        this.call = call;
        this.serial = serial;
        this.host = host;
    }

    static void begin(CallServer server, LocalUpstream local, Message.Call call, Serial serial, Host host) {
        KeyedAttempt keyed = new KeyedAttempt(server, local, call, serial, host);
        server.parts().keys().claim(local, call.key(), Fingerprint.of(call), c -> serial.run(() -> keyed.onClaimed(c)));
    }

    private void onClaimed(KeyClaims.Outcome outcome) {
        if (!host.waiting()) {
            if (outcome instanceof KeyClaims.Outcome.Owned(KeyTable.Claim.Granted g)) {
                local.keys().withdraw(call.key(), new KeptAnswer.Lost(server.notRun(RefusalReason.CANCELLED)));
            }
            return;
        }
        switch (outcome) {
            case KeyClaims.Outcome.Owned owned -> onDecided(owned.claim());
            case KeyClaims.Outcome.Elsewhere e -> host.refuseKeyed(server.notRun(RefusalReason.KEY_NOT_OWNER));
            case KeyClaims.Outcome.Uncertain u -> host.refuseKeyed(Refusal.mayHaveRun(RefusalReason.KEY_OWNER_CHANGED));
        }
    }

    private void onDecided(KeyTable.Claim claim) {
        switch (claim) {
            case KeyTable.Claim.Granted g -> host.keyGranted();
            case KeyTable.Claim.Taken t -> t.outcome().accept(kept -> serial.run(() -> onEarlierOutcome(kept)));
            case KeyTable.Claim.Reused r -> host.refuseKeyed(server.notRun(RefusalReason.KEY_REUSED));
            case KeyTable.Claim.Sealed s -> host.refuseKeyed(server.notRun(RefusalReason.KEY_NOT_OWNER));
        }
    }

    /** Gives the outcome of the earlier try. */
    private void onEarlierOutcome(KeptAnswer kept) {
        if (!host.waiting()) {
            return;
        }
        switch (kept) {
            case KeptAnswer.Whole whole -> host.replayAnswer(whole);
            case KeptAnswer.Lost lost -> host.refuseKeyed(lost.refusal());
        }
    }

    /**
     * The call that tries; asked inside its serial runner.
     */
    interface Host {
        /** Tells whether the call still waits. */
        boolean waiting();

        /** Goes on to wait for a slot: the key is this call's. */
        void keyGranted();

        /** Answers with the answer of an earlier try. */
        void replayAnswer(KeptAnswer.Whole whole);

        /** Refuses the call. */
        void refuseKeyed(Refusal refusal);
    }
}
