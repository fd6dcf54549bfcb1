package org.verbenadyke.kernel.serve;

import java.util.Optional;

import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.CrashFinding;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.time.TimerService;
import org.verbenadyke.kernel.trace.Decision;
import org.verbenadyke.kernel.trace.DecisionLog;

/**
 * Records the calls that ended without an answer of the upstream, and counts them as soon as the upstream is known to
 * have crashed. Whether the upstream is looked up first or a call fails first makes no difference. An upstream that
 * ends as planned may have calls in flight; its end says nothing about those.
 */
final class CrashRecorder {
    /**
     * How long after its deadline a cancelled call may still run, in nanoseconds: most upstreams stop within
     * milliseconds, some notice a deadline or a closed connection only between two steps of their work.
     */
    private static final long OVERRUN_NANOS = 2_000_000_000L;

    private final TimerService timers;
    private final Quarantine quarantine;
    private final DecisionLog decisions;

    private CrashRecorder(TimerService timers, Quarantine quarantine, DecisionLog decisions) {
        this.timers = timers;
        this.quarantine = quarantine;
        this.decisions = decisions;
    }

    static CrashRecorder create(TimerService timers, Quarantine quarantine, DecisionLog decisions) {
        return new CrashRecorder(timers, quarantine, decisions);
    }

    /** Records that an upstream refused connections with a call in flight; returns the reason for the refusal. */
    RefusalReason connectionRefused(Message.Call call, RequestDigest digest, LocalUpstream local) {
        CrashEvidence.LostCall lost = lostCall(call, digest);
        if (local.plannedToEnd()) {
            return note(lost, CrashFinding.PLANNED_END);
        }
        crashed(local);
        count(lost, CrashFinding.CONNECTION_REFUSED);
        return RefusalReason.UPSTREAM_ENDED;
    }

    /** Records that the connection of a call ended without an answer; returns the reason for the refusal. */
    RefusalReason connectionLost(Message.Call call, RequestDigest digest, LocalUpstream local) {
        long until = timers.nanos() + CrashEvidence.LOST_RETENTION_NANOS;
        return keep(lostCall(call, digest), local, until, CrashFinding.CONNECTION_LOST);
    }

    /** Records that a call was cancelled which the upstream may go on running. */
    void cancelled(Message.Call call, RequestDigest digest, LocalUpstream local, long deadlineNanos) {
        long until = Math.max(timers.nanos(), deadlineNanos) + OVERRUN_NANOS;
        keep(lostCall(call, digest), local, until, CrashFinding.CANCELLED);
    }

    /** Records that an upstream refuses connections; a later start of it may be the same upstream to this node. */
    void crashed(LocalUpstream local) {
        if (!local.plannedToEnd()) {
            countLost(local, CrashFinding.CONNECTION_REFUSED);
        }
    }

    /** Records that a start of an upstream is over without having announced it. */
    void ended(LocalUpstream local, CrashFinding finding) {
        if (local.plannedToEnd()) {
            return;
        }
        local.crashEvidence().end(finding);
        countLost(local, finding);
    }

    private RefusalReason keep(
            CrashEvidence.LostCall lost, LocalUpstream local, long untilNanos, CrashFinding finding) {
        if (local.plannedToEnd()) {
            return note(lost, CrashFinding.PLANNED_END);
        }
        Optional<CrashFinding> ended = local.crashEvidence().add(lost, finding == CrashFinding.CANCELLED, untilNanos);
        if (ended.isPresent()) {
            count(lost, ended.get());
            return RefusalReason.UPSTREAM_ENDED;
        }
        return note(lost, finding);
    }

    private void countLost(LocalUpstream local, CrashFinding finding) {
        local.crashEvidence().take(timers.nanos()).forEach(c -> count(c, finding));
    }

    private void count(CrashEvidence.LostCall lost, CrashFinding finding) {
        decisions.note(new Decision.UpstreamCrashed(lost.request(), lost.upstream(), lost.digest(), finding));
        quarantine.recordCrash(lost.digest(), lost.upstream());
    }

    private RefusalReason note(CrashEvidence.LostCall lost, CrashFinding finding) {
        decisions.note(new Decision.CallLost(lost.request(), lost.upstream(), lost.digest(), finding));
        return RefusalReason.UPSTREAM_BROKEN;
    }

    private static CrashEvidence.LostCall lostCall(Message.Call call, RequestDigest digest) {
        return new CrashEvidence.LostCall(call.request(), call.target().upstream(), digest);
    }
}
