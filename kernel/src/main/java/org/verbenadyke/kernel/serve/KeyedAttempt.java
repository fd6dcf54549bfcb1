package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.once.StoredOutcome;

/**
 * Claims the idempotency key of a call before the call may wait for a slot, or completes the call with the outcome of
 * an earlier attempt.
 */
final class KeyedAttempt {
    private final CallServer server;
    private final LocalUpstream local;
    private final Message.Call call;
    private final SerialExecutor serial;
    private final Host host;

    private KeyedAttempt(CallServer server, LocalUpstream local, Message.Call call, SerialExecutor serial, Host host) {
        this.server = server;
        this.local = local;
        this.call = call;
        this.serial = serial;
        this.host = host;
    }

    static void begin(CallServer server, LocalUpstream local, Message.Call call, SerialExecutor serial, Host host) {
        KeyedAttempt attempt = new KeyedAttempt(server, local, call, serial, host);
        server.parts()
                .keys()
                .claim(local, call.key(), Fingerprint.of(call), c -> serial.run(() -> attempt.onClaimed(c)));
    }

    private void onClaimed(KeyClaims.Outcome outcome) {
        if (!host.waiting()) {
            if (outcome instanceof KeyClaims.Outcome.Owned(KeyTable.Claim.Granted g)) {
                local.keys().withdraw(call.key(), new StoredOutcome.NoAnswer(server.notRun(RefusalReason.CANCELLED)));
            }
            return;
        }
        switch (outcome) {
            case KeyClaims.Outcome.Owned owned -> onDecided(owned.claim());
            case KeyClaims.Outcome.OwnedElsewhere e -> host.refuseKeyed(server.notRun(RefusalReason.KEY_NOT_OWNER));
            case KeyClaims.Outcome.InDoubt u -> host.refuseKeyed(Refusal.mayHaveRun(RefusalReason.KEY_OWNER_CHANGED));
        }
    }

    private void onDecided(KeyTable.Claim claim) {
        switch (claim) {
            case KeyTable.Claim.Granted g -> host.keyGranted();
            case KeyTable.Claim.Taken t -> t.outcome().accept(stored -> serial.run(() -> onEarlierOutcome(stored)));
            case KeyTable.Claim.Reused r -> host.refuseKeyed(server.notRun(RefusalReason.KEY_REUSED));
            case KeyTable.Claim.Sealed s -> host.refuseKeyed(server.notRun(RefusalReason.KEY_NOT_OWNER));
        }
    }

    /** Completes the call with the outcome of the earlier attempt. */
    private void onEarlierOutcome(StoredOutcome stored) {
        if (!host.waiting()) {
            return;
        }
        switch (stored) {
            case StoredOutcome.CompleteAnswer answer -> host.replayAnswer(answer);
            case StoredOutcome.NoAnswer none -> host.refuseKeyed(none.refusal());
        }
    }

    /**
     * The call that uses the key; invoked inside its serial executor.
     */
    interface Host {
        /** Returns whether the call still waits. */
        boolean waiting();

        /** Called when the call has been granted the key and may wait for a slot. */
        void keyGranted();

        /** Answers with the stored answer of an earlier attempt. */
        void replayAnswer(StoredOutcome.CompleteAnswer earlier);

        /** Refuses the call. */
        void refuseKeyed(Refusal refusal);
    }
}
