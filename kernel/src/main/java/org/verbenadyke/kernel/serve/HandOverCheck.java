package org.verbenadyke.kernel.serve;

import java.util.Optional;
import java.util.function.Consumer;

import org.verbenadyke.kernel.body.BodyMemory;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.QuarantineStatus;
import org.verbenadyke.kernel.quarantine.RequestDigest;

/**
 * Decides for one received call whether it may be handed to the upstream: not past its deadline or its time to live,
 * not once the upstream is leaving, and only as the known crashes of upstreams with the same request in flight allow.
 * Runs right before the hand-over, so that no call bypasses the check: a first attempt, a retry, a non-idempotent call,
 * or a call that waited at the gate, for its key, or behind a suspect.
 * Afterwards it reports what became of the call at the upstream, as far as that tells of the upstream's crashes.
 */
final class HandOverCheck {
    private static final int GATEWAY_TIMEOUT = 504;

    private final CallServer server;
    private final LocalUpstream local;
    private final SuspectQueue.SuspectedCall suspect;
    private Message.Call call;
    private Optional<RequestDigest> digest = Optional.empty();
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
            case QuarantineStatus.SoleSuspect sole -> !startAlone();
            case QuarantineStatus.Trial trial -> !startTrial();
            case QuarantineStatus.Quarantined quarantined -> {
                refuse.accept(server.parts().quarantine().refusal(call.request(), quarantined));
                yield true;
            }
        };
    }

    private boolean startAlone() {
        suspected = true;
        return server.suspectQueue().tryStart(suspect);
    }

    /**
     * Starts the trial of a quarantined request. It counts as failed until the request is answered: a rejection, or a
     * trial of which nothing is heard, lets no other trial follow at once.
     */
    private boolean startTrial() {
        boolean starts = startAlone();
        if (starts) {
            server.parts()
                    .quarantine()
                    .recordCrash(call.content(), call.target().upstream());
        }
        return starts;
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

    /**
     * Drops a large body, of which only the digest is needed from now on, and returns whether it did. A small one is
     * kept: digesting the body of each call would take more than the memory is worth.
     */
    boolean dropBody() {
        if (call.content().body().length <= BodyMemory.MAX_UNCOUNTED_BYTES) {
            return false;
        }
        digest = Optional.of(digest());
        call = call.withoutBody();
        return true;
    }

    /** Called when the connection ended without an answer; returns the reason for the refusal. */
    RefusalReason connectionLost() {
        return server.crashes().connectionLost(call, digest(), local);
    }

    /** Called when the upstream refuses connections and has not answered; returns the reason for the refusal. */
    RefusalReason connectionRefused() {
        return server.crashes().connectionRefused(call, digest(), local);
    }

    /** Called when the call is cancelled at the upstream, which may go on with it. */
    void cancelled(long deadlineNanos) {
        server.crashes().cancelled(call, digest(), local, deadlineNanos);
    }

    /** Returns what identifies the request, should it crash the upstream. */
    private RequestDigest digest() {
        return digest.orElseGet(() -> RequestDigest.of(call.content()));
    }

    /**
     * Called when the upstream has answered the call, which shows that the call crashes no upstream. An upstream that
     * stopped at the deadline has not run the call to its end.
     */
    void answered(int status) {
        if (status == GATEWAY_TIMEOUT) {
            return;
        }
        if (digest.isPresent()) {
            server.parts().quarantine().recordAnswer(digest.get());
        } else {
            server.parts().quarantine().recordAnswer(call.content());
        }
    }

    /** Called when the call has ended, whatever the outcome. */
    void finished() {
        call = call.withoutBody();
        if (suspected) {
            server.suspectQueue().finish(suspect);
        }
    }
}
