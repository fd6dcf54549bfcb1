package org.verbenadyke.kernel.core;

import java.util.Optional;

import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;
import org.verbenadyke.kernel.quarantine.RequestDigest;

/**
 * Keeps the requests that are held back on the log, beside the members, which each node reads at its start anyway.
 *
 * <p>Load pattern: all nodes end at the same moment, and with them all that gossip knows. A request that had ended
 * three upstreams before ended three more after each such moment. The nodes that saw one of its ends write: two an
 * end, the one beside the upstream and the one that sent the call, so that the record survives some of them.
 */
final class HeldLog {
    /** How long after a failed write the state of that time is written, in nanoseconds: the log may be away. */
    private static final long AGAIN_NANOS = 5_000_000_000L;

    private final CoreParts parts;
    private final Quarantine quarantine;

    private HeldLog(CoreParts parts, Quarantine quarantine) {
        this.parts = parts;
        this.quarantine = quarantine;
    }

    /** Writes what a quarantine holds back, from now on. */
    static void start(CoreParts parts, Quarantine quarantine) {
        HeldLog log = new HeldLog(parts, quarantine);
        quarantine.onHeld(log::write);
        // Of a log that was replaced by an older copy, newer records are gone; whoever knows them writes them again.
        parts.log().onReplaced((before, now) -> quarantine.heldBack().forEach(log::write));
    }

    private void write(RequestDigest request) {
        Optional<QuarantinedRequest> held = quarantine.record(request);
        if (held.isEmpty()) {
            return;
        }
        byte[] bytes = parts.held().encode(held.get());
        parts.log().append(MemberLog.STREAM, held.get().key(), bytes, result -> {
            boolean done = result instanceof LogService.AppendResult.Appended;
            parts.counters().count(done ? Event.LOG_APPENDED : Event.LOG_FAILED);
            if (!done) {
                parts.timers().after(AGAIN_NANOS, () -> write(request));
            }
        });
    }
}
