package org.verbenadyke.kernel.core;

import java.util.HashSet;
import java.util.Set;

import org.verbenadyke.kernel.departure.NodeDepartures;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.QuarantinedRequest;
import org.verbenadyke.kernel.trace.Decision;

/**
 * The members' stream on the log, by which a node without seeds finds the others. Every node reads the stream at its
 * start; only some nodes are registered there, and gossip leads from these to the rest.
 *
 * <p>Load pattern: all nodes of a fleet start within some tenths of a second, and each call to the log is paid for, so
 * that a start should cost one call. A node registers when it finds few others registered, when none of those answers,
 * and when it becomes a follower of the operators' record; the followers ensure that some registered nodes are alive.
 *
 * <p>A node that registers reads again afterwards. Of two such nodes the later one then sees the other, whatever the
 * order of their calls, so that no two groups of nodes stay separate.
 */
final class MemberLog {
    static final String STREAM = "members";

    /**
     * How many others must be registered for a node not to register: at least one of them is alive except after rare
     * disasters.
     */
    static final int ENOUGH_REGISTERED = 5;

    private static final long RETRY_NANOS = 1_000_000_000L;
    private static final long REPEAT_NANOS = 30_000_000_000L;

    /** How often the node checks whether any other answers, and whether it must register: two rounds of gossip. */
    private static final long CHECK_NANOS = 500_000_000L;

    /** How long after the log's history was replaced the log is read: others write their records again meanwhile. */
    private static final long REREAD_DELAY_NANOS = 500_000_000L;

    private final CoreParts parts;
    private final Host host;
    private final Set<String> others = new HashSet<>();
    private long nextOffset;
    private boolean reading;
    private boolean read;
    private boolean written;
    private boolean foundSelf;
    private boolean overwritten;
    private long nextRegistrationNanos;
    private volatile boolean stopped;

    MemberLog(CoreParts parts, Host host) {
        this.parts = parts;
        this.host = host;
        this.nextRegistrationNanos = parts.timers().nanos();
    }

    /** Reads the registered members soon, and maintains this node's own record from then on. */
    synchronized void start(long rewriteNanos, long spreadNanos) {
        if (spreadNanos > 0) {
            parts.timers().after(parts.random().get().nextLong(spreadNanos), this::read);
        } else {
            read();
        }
        parts.log().onReplaced((before, now) -> replaced());
        parts.timers().every(CHECK_NANOS, this::checkRegistration);
        long jitter = parts.random().get().nextLong(rewriteNanos);
        parts.timers().after(jitter, () -> parts.timers().every(rewriteNanos, this::rewrite));
    }

    /** Registers this node, or updates its record. */
    synchronized void write() {
        if (stopped) {
            return;
        }
        written = true;
        MemberRecord self = host.self();
        parts.log().append(STREAM, self.nodeId(), parts.memberCodec().encode(self), this::onAppended);
    }

    /** Records on the log that this node has left, if it is registered there. */
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
     * Starts over on a log whose history was replaced: this node's record may be gone, and offsets point elsewhere.
     * Every registered node writes at once, so that starting nodes find the followers of the operators' record; a key
     * that is missing now counts as lost, not as deleted.
     */
    private synchronized void replaced() {
        nextOffset = 0;
        rewrite();
        afterJitter(REREAD_DELAY_NANOS, this::read);
    }

    private void onAppended(LogService.AppendResult result) {
        boolean done = result instanceof LogService.AppendResult.Appended;
        parts.counters().count(done ? Event.LOG_APPENDED : Event.LOG_FAILED);
        if (!done) {
            afterJitter(REPEAT_NANOS, this::write);
        }
    }

    private synchronized void checkRegistration() {
        if (stopped || !read || parts.timers().nanos() - nextRegistrationNanos < 0) {
            return;
        }
        boolean alone = !host.receivedAny() && !others.isEmpty();
        boolean missing = host.isFollower() && !written;
        if (alone || missing) {
            nextRegistrationNanos =
                    parts.timers().nanos() + RETRY_NANOS + parts.random().get().nextLong(RETRY_NANOS);
            register();
        }
    }

    /** Registers this node, and then reads which nodes registered before. */
    private void register() {
        written = true;
        host.registered();
        MemberRecord self = host.self();
        parts.log().append(STREAM, self.nodeId(), parts.memberCodec().encode(self), result -> {
            onAppended(result);
            read();
        });
    }

    private synchronized void read() {
        if (stopped || reading) {
            return;
        }
        reading = true;
        parts.log().read(STREAM, nextOffset, 0, this::onRead);
    }

    private synchronized void onRead(LogService.ReadResult result) {
        reading = false;
        switch (result) {
            case LogService.ReadResult.Records r -> {
                r.records().forEach(this::handle);
                // A page may have no record left; only an empty page that doesn't advance the offset is the end.
                boolean atEnd = r.complete() || r.records().isEmpty() && r.nextOffset() <= nextOffset;
                nextOffset = r.nextOffset();
                if (atEnd) {
                    readComplete();
                } else {
                    read();
                }
            }
            case LogService.ReadResult.Failed f -> {
                parts.counters().count(Event.LOG_FAILED);
                // A node that others have found needs no registered members.
                afterJitter(host.receivedAny() ? REPEAT_NANOS : RETRY_NANOS, this::read);
            }
        }
    }

    private void readComplete() {
        afterJitter(REPEAT_NANOS, this::readAgain);
        if (overwritten) {
            overwritten = false;
            rewrite();
        }
        if (read) {
            return;
        }
        read = true;
        host.readComplete();
        if (foundSelf) {
            // Others find this start by the record of an earlier start at the same address.
            written = true;
            host.registered();
        } else if (others.size() < ENOUGH_REGISTERED) {
            register();
        }
    }

    /**
     * Reads again if this node is a follower, to find groups of nodes that don't know this one, on behalf of the
     * others.
     */
    private synchronized void readAgain() {
        if (host.isFollower()) {
            read();
        } else {
            afterJitter(REPEAT_NANOS, this::readAgain);
        }
    }

    /** Handles one record; an unreadable one is skipped and must not prevent the others from being read. */
    private void handle(LogService.LogRecord record) {
        MemberRecord member;
        try {
            member = parts.memberCodec().decode(record.bytes());
        } catch (VerbenadykeException e) {
            handleQuarantined(record, e);
            return;
        }
        if (!record.key().orElse(member.nodeId()).equals(member.nodeId())) {
            skip(record, "it names " + member.nodeId());
            return;
        }
        updateOthers(member);
        host.learn(member);
    }

    /** Handles a record that is no member record. */
    private void handleQuarantined(LogService.LogRecord record, VerbenadykeException memberFault) {
        QuarantinedRequest quarantined;
        try {
            quarantined = parts.quarantineCodec().decode(record.bytes());
        } catch (VerbenadykeException e) {
            handleDepartures(record, memberFault);
            return;
        }
        if (!record.key().orElse(quarantined.key()).equals(quarantined.key())) {
            skip(record, "it names " + quarantined.key());
            return;
        }
        host.restore(quarantined);
    }

    /** Handles a record that is neither a member record nor a quarantined request. */
    private void handleDepartures(LogService.LogRecord record, VerbenadykeException memberFault) {
        NodeDepartures departures;
        try {
            departures = parts.departureCodec().decode(record.bytes());
        } catch (VerbenadykeException e) {
            skip(record, memberFault.getMessage());
            return;
        }
        if (!record.key().orElse(departures.key()).equals(departures.key())) {
            skip(record, "it names " + departures.key());
            return;
        }
        host.restore(departures);
    }

    private void updateOthers(MemberRecord member) {
        MemberRecord self = host.self();
        boolean alive = member.state() == MemberState.ALIVE;
        if (member.nodeId().equals(self.nodeId())) {
            foundSelf = alive && member.endpoint().equals(self.endpoint());
            overwritten = false;
        } else if (alive) {
            others.add(member.nodeId());
        } else {
            others.remove(member.nodeId());
        }
    }

    /** Skips a record. One under this node's own key has replaced its record, by which starting nodes find it. */
    private void skip(LogService.LogRecord record, String reason) {
        overwritten |= record.key().orElse("").equals(host.self().nodeId());
        parts.counters().count(Event.RECORD_SKIPPED);
        parts.decisions().note(new Decision.RecordSkipped(STREAM, record.key().orElse(""), reason));
    }

    /**
     * Runs a step after a random delay from half to one and a half of {@code nanos}, so that nodes don't act at once.
     */
    private void afterJitter(long nanos, Runnable step) {
        parts.timers().after(nanos / 2 + parts.random().get().nextLong(nanos), step);
    }

    /**
     * The node whose record is maintained.
     */
    interface Host {
        /** Returns the node's newest record. */
        MemberRecord self();

        /** Merges the record of a member. */
        void learn(MemberRecord member);

        /** Restores a request that was quarantined. */
        void restore(QuarantinedRequest quarantined);

        /** Restores departures of upstreams. */
        void restore(NodeDepartures departures);

        /** Called when the stream was read to its end for the first time. */
        void readComplete();

        /** Returns whether a message of another node was received since the start. */
        boolean receivedAny();

        /** Returns whether this node is a follower of the operators' record. */
        boolean isFollower();

        /** Called when this node is registered. */
        void registered();
    }
}
