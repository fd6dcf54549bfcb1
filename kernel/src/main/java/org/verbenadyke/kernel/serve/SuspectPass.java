package org.verbenadyke.kernel.serve;

import java.util.function.Consumer;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.QuarantineStatus;

/**
 * Asks for one received call whether it may be handed to the upstream, by what is known of ends of upstreams under the
 * same request. Asked right before the hand-over, so that no call gets past it: a first try, a retry, a filing, or one
 * that waited while upstreams ended elsewhere.
 */
final class SuspectPass {
    private final CallServer server;
    private final LocalUpstream local;
    private final Message.Call call;
    private final SuspectLane.Suspected taker;
    private boolean suspected;

    SuspectPass(CallServer server, LocalUpstream local, Message.Call call, SuspectLane.Suspected taker) {
        this.server = server;
        this.local = local;
        this.call = call;
        this.taker = taker;
    }

    /** Tells whether the call must not be handed over now: it is refused, or resumed later. */
    boolean denied(Consumer<Refusal> refuse) {
        if (suspected && local.draining()) {
            // The queue was emptied when the upstream began to leave; the call waited beside it.
            refuse.accept(server.notRun(RefusalReason.DRAINING));
            return true;
        }
        return switch (server.parts().quarantine().statusAtUpstream(call.content())) {
            case QuarantineStatus.Unrestricted free -> false;
            case QuarantineStatus.SoleSuspect alone -> {
                suspected = true;
                yield !server.lane().enter(taker);
            }
            case QuarantineStatus.Quarantined held -> {
                refuse.accept(server.parts().quarantine().refusal(call.request(), held));
                yield true;
            }
        };
    }

    /** Takes notice that the call has ended, however. */
    void over() {
        if (suspected) {
            server.lane().leave(taker);
        }
    }
}
