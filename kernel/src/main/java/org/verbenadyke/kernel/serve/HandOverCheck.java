package org.verbenadyke.kernel.serve;

import java.util.Optional;
import java.util.function.Consumer;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.QuarantineStatus;

/**
 * Decides for one received call whether it may be handed to the upstream: not past its deadline or its time to live,
 * not once the upstream is leaving, and only as the known crashes of upstreams with the same request in flight allow.
 * Runs right before the hand-over, so that no call bypasses the check: a first attempt, a retry, a non-idempotent call,
 * or a call that waited at the gate, for its key, or behind a suspect.
 */
final class HandOverCheck {
    private final CallServer server;
    private final LocalUpstream local;
    private final SuspectQueue.SuspectedCall suspect;
    private Message.Call call;
    private boolean suspected;

    HandOverCheck(CallServer server, LocalUpstream local, Message.Call call, SuspectQueue.SuspectedCall suspect) {
        this.server = server;
        this.local = local;
        this.call = call;
        this.suspect = suspect;
    }

    /** Returns whether the call must not be handed over now. Such a call is refused, or resumed later. */
    boolean blocks(CallTimes times, Consumer<Refusal> refuse) {
        Optional<RefusalReason> reason = refusalReason(times);
        if (reason.isPresent()) {
            refuse.accept(server.notRun(reason.get()));
            return true;
        }
        return switch (server.parts().quarantine().statusAtUpstream(call.content())) {
            case QuarantineStatus.Unrestricted unrestricted -> false;
            case QuarantineStatus.SoleSuspect sole -> {
                suspected = true;
                yield !server.suspectQueue().tryStart(suspect);
            }
            case QuarantineStatus.Quarantined quarantined -> {
                refuse.accept(server.parts().quarantine().refusal(call.request(), quarantined));
                yield true;
            }
        };
    }

    private Optional<RefusalReason> refusalReason(CallTimes times) {
        if (times.handedOver() >= times.deadline()) {
            return Optional.of(RefusalReason.DEADLINE);
        }
        if (times.isStale()) {
            return Optional.of(RefusalReason.FENCED);
        }
        return local.draining() ? Optional.of(RefusalReason.DRAINING) : Optional.empty();
    }

    /** Called when the call has ended, whatever the outcome. */
    void finished() {
        call = call.withoutBody();
        if (suspected) {
            server.suspectQueue().finish(suspect);
        }
    }
}
