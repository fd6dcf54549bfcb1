package org.verbenadyke.kernel.serve;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.quarantine.CrashFinding;
import org.verbenadyke.kernel.quarantine.RequestDigest;

/**
 * The calls that one start of an upstream may have been running when it crashed, kept until that is known. A connection
 * that ends proves nothing; a later fact does: the upstream refuses connections, or another start of it reports without
 * the first one having announced that it leaves. An upstream that goes on reporting has survived. Thread-safe.
 */
final class CrashEvidence {
    /** The maximum number of calls kept, some 150 bytes each; the oldest go first. */
    static final int MAX_CALLS = 256;

    /**
     * How long a call whose connection ended is kept, in nanoseconds: the time in which an upstream that crashed starts
     * again and reports.
     */
    static final long LOST_RETENTION_NANOS = 10_000_000_000L;

    /** The number of reports after a call that show that the upstream survived; the first may have been delayed. */
    private static final int REPORTS_TO_SURVIVE = 2;

    /**
     * The minimum time between two reports that count, in nanoseconds: less than upstreams take from one to the next,
     * and more than passes between reports that waited together, as after a pause of the node.
     */
    private static final long MIN_REPORT_GAP_NANOS = 400_000_000L;

    private final Deque<Kept> lost = new ArrayDeque<>();
    private long reports;
    private long lastReportNanos;
    private Optional<CrashFinding> ended = Optional.empty();

    private CrashEvidence() {}

    static CrashEvidence empty() {
        return new CrashEvidence();
    }

    /**
     * Adds a call that ended without an answer.
     *
     * @param call the call
     * @param mayStillRun whether the upstream may go on running the call, as it was cancelled
     * @param untilNanos until when the call is kept, in nanoseconds
     * @return how this start is known to have crashed, so that the call counts at once; empty if the call is kept
     */
    synchronized Optional<CrashFinding> add(LostCall call, boolean mayStillRun, long untilNanos) {
        if (ended.isPresent()) {
            return ended;
        }
        if (lost.size() >= MAX_CALLS) {
            lost.removeFirst();
        }
        lost.addLast(new Kept(call, mayStillRun, untilNanos, reports + REPORTS_TO_SURVIVE));
        return Optional.empty();
    }

    /**
     * Takes the calls that the upstream may have been running when it crashed.
     *
     * @param nowNanos the time
     * @return the calls
     */
    synchronized List<LostCall> take(long nowNanos) {
        List<LostCall> taken = lost.stream()
                .filter(c -> c.untilNanos() - nowNanos >= 0)
                .map(Kept::call)
                .toList();
        lost.clear();
        return taken;
    }

    /**
     * Records that this start has crashed for good: calls that are added from now on count at once.
     *
     * @param finding how that is known
     */
    synchronized void end(CrashFinding finding) {
        ended = Optional.of(finding);
    }

    /**
     * Records that the upstream has reported: in the end it survived the loss of earlier connections.
     *
     * @param nowNanos the time
     */
    synchronized void reported(long nowNanos) {
        if (reports > 0 && nowNanos - lastReportNanos < MIN_REPORT_GAP_NANOS) {
            return;
        }
        lastReportNanos = nowNanos;
        reports++;
        lost.removeIf(c -> !c.mayStillRun() && c.survivalReport() <= reports);
    }

    /**
     * A call that ended without an answer.
     *
     * @param request the request that the call belongs to
     * @param upstream the id of the upstream
     * @param digest the digest of the call
     */
    record LostCall(RequestId request, String upstream, RequestDigest digest) {}

    /** A call that is kept, and the number of the report by which the upstream has survived the end of the call. */
    private record Kept(LostCall call, boolean mayStillRun, long untilNanos, long survivalReport) {}
}
