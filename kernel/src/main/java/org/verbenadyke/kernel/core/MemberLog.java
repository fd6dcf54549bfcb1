package org.verbenadyke.kernel.core;

import java.util.function.Consumer;
import java.util.function.Supplier;

import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.trace.Decision;

/**
 * The members' stream: each node writes its record at its start and again before the log may drop it, and reads the
 * others' at its start, so that a node without seeds finds the rest.
 */
final class MemberLog {
    static final String STREAM = "members";

    private static final long RETRY_NANOS = 1_000_000_000L;
    private static final long AGAIN_NANOS = 30_000_000_000L;

    private final CoreParts parts;
    private final Supplier<MemberRecord> self;
    private final Consumer<MemberRecord> taker;
    private long nextOffset;
    private volatile boolean stopped;

    MemberLog(CoreParts parts, Supplier<MemberRecord> self, Consumer<MemberRecord> taker) {
        this.parts = parts;
        this.self = self;
        this.taker = taker;
    }

    void start(long rewriteNanos) {
        write();
        read();
        long jitter = parts.random().get().nextLong(rewriteNanos);
        parts.timers().after(jitter, () -> parts.timers().every(rewriteNanos, this::write));
    }

    void stop() {
        stopped = true;
    }

    void write() {
        if (stopped) {
            return;
        }
        parts.log().append(STREAM, self.get().nodeId(), parts.members().encode(self.get()), result -> {
            boolean appended = result instanceof LogService.Appended.At;
            parts.counters().count(appended ? Event.LOG_APPENDED : Event.LOG_FAILED);
            if (!appended) {
                later(AGAIN_NANOS, this::write);
            }
        });
    }

    private void read() {
        if (stopped) {
            return;
        }
        parts.log().read(STREAM, nextOffset, 0, result -> {
            switch (result) {
                case LogService.Read.Records r -> {
                    r.records().forEach(this::take);
                    // A page may have been read of which no record is left; only one that leads nowhere is the end.
                    boolean atEnd = r.records().isEmpty() && r.nextOffset() <= nextOffset;
                    nextOffset = r.nextOffset();
                    if (atEnd) {
                        later(AGAIN_NANOS, this::read);
                    } else {
                        read();
                    }
                }
                case LogService.Read.Failed f -> {
                    parts.counters().count(Event.LOG_FAILED);
                    later(RETRY_NANOS, this::read);
                }
            }
        });
    }

    /** Takes one record; an odd one names nobody and must not end the reading of the others. */
    private void take(LogService.LogRecord record) {
        MemberRecord member;
        try {
            member = parts.members().decode(record.bytes());
        } catch (VerbenadykeException e) {
            skip(record, e.getMessage());
            return;
        }
        if (!record.key().orElse(member.nodeId()).equals(member.nodeId())) {
            skip(record, "it names " + member.nodeId());
            return;
        }
        taker.accept(member);
    }

    private void skip(LogService.LogRecord record, String why) {
        parts.counters().count(Event.RECORD_SKIPPED);
        parts.decisions().note(new Decision.RecordSkipped(STREAM, record.key().orElse(""), why));
    }

    /** Runs a step between half and one and a half of a delay from now, so that nodes don't act together. */
    private void later(long nanos, Runnable step) {
        parts.timers().after(nanos / 2 + parts.random().get().nextLong(nanos), step);
    }
}
