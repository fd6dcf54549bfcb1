package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * Claims the idempotency key of a call before it may wait for a slot, or gives it the outcome of an earlier try.
 */
final class KeyedTry {
    private final CallServer server;
    private final LocalUpstream local;
    private final Message.Call call;
    private final SerialExecutor serial;
    private final Host host;

    private KeyedTry(CallServer server, LocalUpstream local, Message.Call call, SerialExecutor serial, Host host) {
        this.server = server;
        this.local = local;
        this.call = call;
        this.serial = serial;
        this.host = host;
    }

    static void begin(CallServer server, LocalUpstream local, Message.Call call, SerialExecutor serial, Host host) {
        KeyedTry keyed = new KeyedTry(server, local, call, serial, host);
        server.parts().keys().claim(local, call.key(), Fingerprint.of(call), c -> serial.run(() -> keyed.claimed(c)));
    }

    private void claimed(KeyClaims.Outcome outcome) {
        if (!host.waiting()) {
            if (outcome instanceof KeyClaims.Outcome.Owned(KeyTable.Claim.Granted g)) {
                local.keys().withdraw(call.key(), new StoredOutcome.NoAnswer(server.notRun(RefusalReason.CANCELLED)));
            }
            return;
        }
        switch (outcome) {
            case KeyClaims.Outcome.Owned owned -> decided(owned.claim());
            case KeyClaims.Outcome.OwnedElsewhere e -> host.refuseKeyed(server.notRun(RefusalReason.KEY_NOT_OWNER));
            case KeyClaims.Outcome.InDoubt u -> host.refuseKeyed(Refusal.mayHaveRun(RefusalReason.KEY_OWNER_CHANGED));
        }
    }

    private void decided(KeyTable.Claim claim) {
        switch (claim) {
            case KeyTable.Claim.Granted g -> host.ownsKey();
            case KeyTable.Claim.Taken t -> t.outcome().accept(kept -> serial.run(() -> outcome(kept)));
            case KeyTable.Claim.Reused r -> host.refuseKeyed(server.notRun(RefusalReason.KEY_REUSED));
            case KeyTable.Claim.Sealed s -> host.refuseKeyed(server.notRun(RefusalReason.KEY_NOT_OWNER));
        }
    }

    /** Gives the outcome of the earlier try. */
    private void outcome(StoredOutcome kept) {
        if (!host.waiting()) {
            return;
        }
        switch (kept) {
            case StoredOutcome.CompleteAnswer whole -> host.adopt(whole);
            case StoredOutcome.NoAnswer lost -> host.refuseKeyed(lost.refusal());
        }
    }

    /**
     * The call that tries; asked inside its serial runner.
     */
    interface Host {
        /** Tells whether the call still waits. */
        boolean waiting();

        /** Goes on to wait for a slot: the key is this call's. */
        void ownsKey();

        /** Answers with the answer of an earlier try. */
        void adopt(StoredOutcome.CompleteAnswer whole);

        /** Refuses the call. */
        void refuseKeyed(Refusal refusal);
    }
}
