package org.verbenadyke.kernel.core;

import java.util.Optional;

import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;
import org.verbenadyke.kernel.quarantine.RequestDigest;

/**
 * Stores quarantined requests on the log, in the members' stream, which each node reads at its start anyway.
 *
 * <p>Load pattern: all nodes stop at the same moment, and everything that gossip knows is lost. A request that had
 * crashed three upstreams before then crashed three more after each such restart. The nodes that observed a crash write
 * the record: two per crash, the node colocated with the upstream and the calling node, so that the record survives the
 * loss of some of them.
 */
final class QuarantineLog {
    /**
     * After how long a failed write is retried with the state of that time, in nanoseconds: the log may be unavailable.
     */
    private static final long RETRY_NANOS = 5_000_000_000L;

    private final CoreParts parts;
    private final Quarantine quarantine;

    private QuarantineLog(CoreParts parts, Quarantine quarantine) {
        this.parts = parts;
        this.quarantine = quarantine;
    }

    /** Stores each change of the quarantined requests from now on. */
    static void start(CoreParts parts, Quarantine quarantine) {
        QuarantineLog log = new QuarantineLog(parts, quarantine);
        quarantine.onQuarantineChange(log::write);
        // A log that was replaced by an older copy lacks the newer records; the nodes that know them write them again.
        parts.log().onReplaced((before, now) -> quarantine.quarantined().forEach(log::write));
    }

    private void write(RequestDigest request) {
        Optional<QuarantinedRequest> quarantined = quarantine.logRecord(request);
        if (quarantined.isEmpty()) {
            return;
        }
        byte[] bytes = parts.quarantineCodec().encode(quarantined.get());
        parts.log().append(MemberLog.STREAM, quarantined.get().key(), bytes, result -> {
            boolean done = result instanceof LogService.AppendResult.Appended;
            parts.counters().count(done ? Event.LOG_APPENDED : Event.LOG_FAILED);
            if (!done) {
                parts.timers().after(RETRY_NANOS, () -> write(request));
            }
        });
    }
}
