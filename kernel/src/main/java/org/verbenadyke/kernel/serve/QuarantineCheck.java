package org.verbenadyke.kernel.serve;

import java.util.function.Consumer;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.Standing;

/**
 * Asks for one received call whether it may be handed to the upstream, by what is known of ends of upstreams under the
 * same request. Asked right before the hand-over, so that no call gets past it: a first try, a retry, a filing, or one
 * that waited while upstreams ended elsewhere.
 */
final class QuarantineCheck {
    private final CallServer server;
    private final LocalUpstream local;
    private final Message.Call call;
    private final SuspectQueue.SuspectedCall suspect;
    private boolean suspected;

    QuarantineCheck(CallServer server, LocalUpstream local, Message.Call call, SuspectQueue.SuspectedCall taker) {
        this.server = server;
        this.local = local;
        this.call = call;
        this.suspect = taker;
    }

    /** Tells whether the call must not be handed over now: it is refused, or resumed later. */
    boolean blocks(Consumer<Refusal> refuse) {
        if (suspected && local.draining()) {
            // The queue was emptied when the upstream began to leave; the call waited beside it.
            refuse.accept(server.notRun(RefusalReason.DRAINING));
            return true;
        }
        return switch (server.parts().quarantine().atUpstream(call.content())) {
            case Standing.Free free -> false;
            case Standing.Alone alone -> {
                suspected = true;
                yield !server.suspectQueue().tryStart(suspect);
            }
            case Standing.Held held -> {
                refuse.accept(server.parts().quarantine().refusal(call.request(), held));
                yield true;
            }
        };
    }

    /** Takes notice that the call has ended, however. */
    void finished() {
        if (suspected) {
            server.suspectQueue().finish(suspect);
        }
    }
}
