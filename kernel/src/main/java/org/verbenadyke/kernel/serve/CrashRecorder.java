package org.verbenadyke.kernel.serve;

import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.CrashFinding;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * Records what became of the calls that ended without an answer of the upstream.
 */
final class CrashRecorder {
    private final Quarantine quarantine;
    private final DecisionLog decisions;

    private CrashRecorder(Quarantine quarantine, DecisionLog decisions) {
        this.quarantine = quarantine;
        this.decisions = decisions;
    }

    static CrashRecorder create(Quarantine quarantine, DecisionLog decisions) {
        return new CrashRecorder(quarantine, decisions);
    }

    /**
     * Records that an upstream crashed with a call in flight, and returns the reason for the refusal. An upstream that
     * ends as planned may have calls in flight; its end says nothing about those.
     */
    RefusalReason crashed(Message.Call call, RequestDigest digest, LocalUpstream local) {
        if (local.plannedToEnd()) {
            return lost(call, digest, CrashFinding.PLANNED_END);
        }
        String id = call.target().upstream();
        decisions.note(new Decision.UpstreamCrashed(call.request(), id, digest));
        quarantine.recordCrash(digest, id);
        return RefusalReason.UPSTREAM_ENDED;
    }

    /** Records that a call ended without an answer, and returns the reason for the refusal. */
    RefusalReason lost(Message.Call call, RequestDigest digest, CrashFinding finding) {
        decisions.note(new Decision.CallLost(call.request(), call.target().upstream(), digest, finding));
        return RefusalReason.UPSTREAM_BROKEN;
    }
}
