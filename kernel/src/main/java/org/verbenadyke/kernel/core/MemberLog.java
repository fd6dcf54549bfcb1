package org.verbenadyke.kernel.core;

import java.util.HashSet;
import java.util.Set;

import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;
import org.verbenadyke.kernel.trace.Decision;

/**
 * The members' stream, by which a node without seeds finds the rest. Every node reads it at its start; only some are
 * listed there, and gossip leads from these to the others.
 *
 * <p>Load pattern: all nodes of a fleet start within some tenths of a second, and each call to the log is paid for, so
 * that a start should cost one. A node lists itself when it finds few others listed, when none of them answers, and
 * when it becomes one of those that read the operators' record: these see to it that some listed nodes live.
 *
 * <p>A node that lists itself reads again afterwards. Of two such nodes the later one then sees the other, whatever the
 * order of their calls, so that no two groups stay apart.
 */
final class MemberLog {
    static final String STREAM = "members";

    /** Others that must be listed for a node not to list itself: one of them lives but after rare disasters. */
    static final int LISTED_ENOUGH = 5;

    private static final long RETRY_NANOS = 1_000_000_000L;
    private static final long AGAIN_NANOS = 30_000_000_000L;

    /** How often is looked whether any node answers, and whether this one must be listed: two rounds of gossip. */
    private static final long LOOK_NANOS = 500_000_000L;

    /** How long after the log's history was replaced it is read: others write their records again meanwhile. */
    private static final long REPLACED_NANOS = 500_000_000L;

    private final CoreParts parts;
    private final Host host;
    private final Set<String> others = new HashSet<>();
    private long nextOffset;
    private boolean reading;
    private boolean read;
    private boolean written;
    private boolean foundSelf;
    private long quietUntil;
    private volatile boolean stopped;

    MemberLog(CoreParts parts, Host host) {
        this.parts = parts;
        this.host = host;
        this.quietUntil = parts.timers().nanos();
    }

    /** Reads who is listed, soon, and looks after this node's own record from then on. */
    synchronized void start(long rewriteNanos, long spreadNanos) {
        if (spreadNanos > 0) {
            parts.timers().after(parts.random().get().nextLong(spreadNanos), this::read);
        } else {
            read();
        }
        parts.log().onReplaced((before, now) -> replaced());
        parts.timers().every(LOOK_NANOS, this::look);
        long jitter = parts.random().get().nextLong(rewriteNanos);
        parts.timers().after(jitter, () -> parts.timers().every(rewriteNanos, this::rewrite));
    }

    /** Lists this node, or brings its record up to date. */
    synchronized void write() {
        if (stopped) {
            return;
        }
        written = true;
        MemberRecord self = host.self();
        parts.log().append(STREAM, self.nodeId(), parts.members().encode(self), this::appended);
    }

    /** Says on the log that this node has left, if it is listed there. */
    synchronized void leave() {
        if (written) {
            write();
        }
        stopped = true;
    }

    private synchronized void rewrite() {
        if (written) {
            write();
        }
    }

    /**
     * Begins anew on a log whose history was replaced: this node's record may be gone from it, and offsets lead
     * elsewhere. Whoever is listed writes at once, so that nodes which start find those that read the operators'
     * record; a key that is missing now is taken for lost, not for dropped.
     */
    private synchronized void replaced() {
        nextOffset = 0;
        rewrite();
        later(REPLACED_NANOS, this::read);
    }

    private void appended(LogService.AppendResult result) {
        boolean done = result instanceof LogService.AppendResult.Appended;
        parts.counters().count(done ? Event.LOG_APPENDED : Event.LOG_FAILED);
        if (!done) {
            later(AGAIN_NANOS, this::write);
        }
    }

    private synchronized void look() {
        if (stopped || !read || parts.timers().nanos() - quietUntil < 0) {
            return;
        }
        boolean alone = !host.heardAny() && !others.isEmpty();
        boolean missing = host.reader() && !written;
        if (alone || missing) {
            quietUntil =
                    parts.timers().nanos() + RETRY_NANOS + parts.random().get().nextLong(RETRY_NANOS);
            list();
        }
    }

    /** Lists this node, and once that is done reads who listed itself before. */
    private void list() {
        written = true;
        host.listed();
        MemberRecord self = host.self();
        parts.log().append(STREAM, self.nodeId(), parts.members().encode(self), result -> {
            appended(result);
            read();
        });
    }

    private synchronized void read() {
        if (stopped || reading) {
            return;
        }
        reading = true;
        parts.log().read(STREAM, nextOffset, 0, this::answered);
    }

    private synchronized void answered(LogService.ReadResult result) {
        reading = false;
        switch (result) {
            case LogService.ReadResult.Records r -> {
                r.records().forEach(this::take);
                // A page may have been read of which no record is left; only one that leads nowhere is the end.
                boolean atEnd = r.complete() || r.records().isEmpty() && r.nextOffset() <= nextOffset;
                nextOffset = r.nextOffset();
                if (atEnd) {
                    readAll();
                } else {
                    read();
                }
            }
            case LogService.ReadResult.Failed f -> {
                parts.counters().count(Event.LOG_FAILED);
                // Whoever has been found by others needs no list.
                later(host.heardAny() ? AGAIN_NANOS : RETRY_NANOS, this::read);
            }
        }
    }

    private void readAll() {
        later(AGAIN_NANOS, this::readAgain);
        if (read) {
            return;
        }
        read = true;
        if (foundSelf) {
            // Others find this start by the record of an earlier one at the same address.
            written = true;
            host.listed();
        } else if (others.size() < LISTED_ENOUGH) {
            list();
        }
    }

    /** Looks for groups of nodes that know nothing of this one, on behalf of the others. */
    private synchronized void readAgain() {
        if (host.reader()) {
            read();
        } else {
            later(AGAIN_NANOS, this::readAgain);
        }
    }

    /** Takes one record; an odd one names nobody and must not end the reading of the others. */
    private void take(LogService.LogRecord record) {
        MemberRecord member;
        try {
            member = parts.members().decode(record.bytes());
        } catch (VerbenadykeException e) {
            takeHeld(record, e);
            return;
        }
        if (!record.key().orElse(member.nodeId()).equals(member.nodeId())) {
            skip(record, "it names " + member.nodeId());
            return;
        }
        note(member);
        host.learn(member);
    }

    /** Takes a record that is none of a member. */
    private void takeHeld(LogService.LogRecord record, VerbenadykeException noMember) {
        QuarantinedRequest held;
        try {
            held = parts.held().decode(record.bytes());
        } catch (VerbenadykeException e) {
            skip(record, noMember.getMessage());
            return;
        }
        if (!record.key().orElse(held.key()).equals(held.key())) {
            skip(record, "it names " + held.key());
            return;
        }
        host.restore(held);
    }

    private void note(MemberRecord member) {
        MemberRecord self = host.self();
        boolean alive = member.state() == MemberState.ALIVE;
        if (member.nodeId().equals(self.nodeId())) {
            foundSelf = alive && member.endpoint().equals(self.endpoint());
        } else if (alive) {
            others.add(member.nodeId());
        } else {
            others.remove(member.nodeId());
        }
    }

    private void skip(LogService.LogRecord record, String why) {
        parts.counters().count(Event.RECORD_SKIPPED);
        parts.decisions().note(new Decision.RecordSkipped(STREAM, record.key().orElse(""), why));
    }

    /** Runs a step between half and one and a half of a delay from now, so that nodes don't act together. */
    private void later(long nanos, Runnable step) {
        parts.timers().after(nanos / 2 + parts.random().get().nextLong(nanos), step);
    }

    /**
     * The node whose record is looked after.
     */
    interface Host {
        /** Returns the node's newest record. */
        MemberRecord self();

        /** Takes the record of a member. */
        void learn(MemberRecord member);

        /** Takes a request that was held back. */
        void restore(QuarantinedRequest held);

        /** Tells whether another node was heard since the start. */
        boolean heardAny();

        /** Tells whether this node is one of those that read the operators' record. */
        boolean reader();

        /** Takes notice that this node is listed. */
        void listed();
    }
}
