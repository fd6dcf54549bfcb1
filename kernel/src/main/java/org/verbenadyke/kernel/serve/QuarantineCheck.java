package org.verbenadyke.kernel.serve;

import java.util.function.Consumer;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.QuarantineStatus;

/**
 * Decides for one received call whether it may be handed to the upstream, based on the known crashes of upstreams with
 * the same request in flight. Runs right before the hand-over, so that no call bypasses the check: a first attempt, a
 * retry, a non-idempotent call, or a call that waited while upstreams crashed elsewhere.
 */
final class QuarantineCheck {
    private final CallServer server;
    private final LocalUpstream local;
    private final SuspectQueue.SuspectedCall suspect;
    private Message.Call call;
    private boolean suspected;

    QuarantineCheck(CallServer server, LocalUpstream local, Message.Call call, SuspectQueue.SuspectedCall suspect) {
        this.server = server;
        this.local = local;
        this.call = call;
        this.suspect = suspect;
    }

    /** Returns whether the call must not be handed over now. Such a call is refused, or resumed later. */
    boolean blocks(Consumer<Refusal> refuse) {
        if (suspected && local.draining()) {
            // Draining flushed the gate's queue, but the call waited in the suspect queue.
            refuse.accept(server.notRun(RefusalReason.DRAINING));
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

    /** Called when the call has ended, whatever the outcome. */
    void finished() {
        call = call.withoutBody();
        if (suspected) {
            server.suspectQueue().finish(suspect);
        }
    }
}
