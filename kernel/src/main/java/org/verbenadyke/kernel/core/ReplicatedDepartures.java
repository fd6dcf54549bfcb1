package org.verbenadyke.kernel.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.departure.DepartedStart;
import org.verbenadyke.kernel.departure.DepartureKeeper;
import org.verbenadyke.kernel.departure.DepartureTable;
import org.verbenadyke.kernel.departure.NodeDepartures;
import org.verbenadyke.kernel.log.LogService;
import org.verbenadyke.kernel.membership.DepartureGossip;
import org.verbenadyke.kernel.metrics.Event;

/**
 * Keeps the departures of the colocated upstream on the log and at other nodes.
 *
 * <p>A departure is safe once the log has acknowledged it. While the log doesn't answer it is safe once two other nodes
 * have it: a kill of all nodes loses it then. A later process of the node knows the departures once it has read the log
 * and some other node has answered; without the log, once a node has answered that knows them itself. Neither delays a
 * process that could serve: it gets its routes from the same two sources.
 */
final class ReplicatedDepartures implements DepartureKeeper {
    /** How many other nodes must have a departure that the log doesn't acknowledge. */
    static final int ENOUGH_PEERS = 2;

    /** How long the log may take before other nodes' confirmations count instead, in nanoseconds. */
    static final long LOG_PREFERRED_NANOS = 300_000_000L;

    /**
     * How long a departure may take until it counts as not safe for now, in nanoseconds: an upstream waits a second for
     * the answer to an announcement.
     */
    static final long MAX_WAIT_NANOS = 800_000_000L;

    /** How long other nodes are waited for once the log was read, in nanoseconds: some round trips. */
    static final long PEERS_PREFERRED_NANOS = 500_000_000L;

    private static final long RETRY_NANOS = 1_000_000_000L;
    private static final long CHECK_NANOS = 50_000_000L;
    private static final long NEVER = -1;

    private final CoreParts parts;
    private final DepartureTable table;
    private final DepartureGossip gossip;
    private final SerialExecutor serial = SerialExecutor.create();
    private final List<Waiting> waiting = new ArrayList<>();
    private Consumer<List<DepartedStart>> recoveryListener = known -> {};
    private final long startNanos;
    private long revision;
    private long recordedNanos;
    private long loggedRevision;
    private boolean writing;
    private boolean checkScheduled;
    private long logReadNanos = NEVER;
    private boolean peerAnswered;
    private boolean recovered;

    private ReplicatedDepartures(CoreParts parts, DepartureTable table, DepartureGossip gossip) {
        this.parts = parts;
        this.table = table;
        this.gossip = gossip;
        this.startNanos = parts.timers().nanos();
    }

    static ReplicatedDepartures start(CoreParts parts, DepartureTable table, DepartureGossip gossip) {
        ReplicatedDepartures departures = new ReplicatedDepartures(parts, table, gossip);
        gossip.onConfirmed(() -> departures.serial.run(departures::check));
        gossip.onAnswer(() -> departures.serial.run(departures::peerAnswered));
        gossip.onLearnedOwn(() -> departures.serial.run(departures::learnedOwn));
        // A log that was replaced by an older copy may lack the newest departures.
        parts.log().onReplaced((before, now) -> departures.serial.run(departures::rewrite));
        departures.serial.run(departures::scheduleCheck);
        return departures;
    }

    @Override
    public void record(DepartedStart departed) {
        serial.run(() -> {
            if (table.merge(new NodeDepartures(self(), List.of(departed)))) {
                parts.counters().count(Event.DEPARTURE_RECORDED);
                revision++;
                recordedNanos = parts.timers().nanos();
                gossip.publish(revision);
                write();
            }
        });
    }

    @Override
    public void whenSafe(Consumer<Boolean> callback) {
        serial.run(() -> {
            if (safe()) {
                callback.accept(true);
            } else {
                waiting.add(new Waiting(callback, parts.timers().nanos()));
                scheduleCheck();
            }
        });
    }

    @Override
    public void onRecovered(Consumer<List<DepartedStart>> listener) {
        serial.run(() -> {
            recoveryListener = listener;
            if (recovered) {
                notifyRecovered();
            } else {
                check();
            }
        });
    }

    /** Called when the log was read from its beginning to its end. */
    void logRead() {
        serial.run(() -> {
            logReadNanos = parts.timers().nanos();
            check();
        });
    }

    private void peerAnswered() {
        peerAnswered = true;
        check();
    }

    private void rewrite() {
        if (!table.of(self()).starts().isEmpty()) {
            loggedRevision = Math.min(loggedRevision, revision - 1);
            write();
        }
    }

    private void write() {
        if (writing) {
            return;
        }
        writing = true;
        long written = revision;
        NodeDepartures own = table.of(self());
        byte[] bytes = parts.departureCodec().encode(own);
        parts.log().append(MemberLog.STREAM, own.key(), bytes, result -> serial.run(() -> onWritten(written, result)));
    }

    private void onWritten(long written, LogService.AppendResult result) {
        writing = false;
        boolean done = result instanceof LogService.AppendResult.Appended;
        parts.counters().count(done ? Event.LOG_APPENDED : Event.LOG_FAILED);
        if (done) {
            loggedRevision = Math.max(loggedRevision, written);
        }
        if (!done) {
            parts.timers().after(RETRY_NANOS, () -> serial.run(this::writeMissing));
        } else {
            writeMissing();
        }
        check();
    }

    private void writeMissing() {
        if (loggedRevision < revision) {
            write();
        }
    }

    /** Checks again soon; only while something is pending, so that a quiet node isn't woken up for it. */
    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            parts.timers().after(CHECK_NANOS, () -> serial.run(this::checkAsScheduled));
        }
    }

    private void checkAsScheduled() {
        checkScheduled = false;
        check();
        if (!recovered || !waiting.isEmpty()) {
            scheduleCheck();
        }
    }

    private void check() {
        checkRecovered();
        if (waiting.isEmpty()) {
            return;
        }
        boolean safe = safe();
        long now = parts.timers().nanos();
        List<Waiting> decided = waiting.stream()
                .filter(w -> safe || now - w.sinceNanos() >= MAX_WAIT_NANOS)
                .toList();
        waiting.removeAll(decided);
        if (!safe && !decided.isEmpty()) {
            parts.counters().count(Event.DEPARTURE_UNCONFIRMED);
        }
        decided.forEach(w -> w.callback().accept(safe));
    }

    private boolean safe() {
        if (loggedRevision >= revision) {
            return true;
        }
        boolean logLate = parts.timers().nanos() - recordedNanos >= LOG_PREFERRED_NANOS;
        int peers = gossip.peers();
        return logLate && peers > 0 && gossip.confirmations(revision) >= Math.min(ENOUGH_PEERS, peers);
    }

    private void checkRecovered() {
        if (!recovered && sourcesHeard()) {
            recovered = true;
            gossip.recovered();
            notifyRecovered();
        }
    }

    private void notifyRecovered() {
        recoveryListener.accept(table.of(self()).starts());
    }

    private void learnedOwn() {
        if (recovered) {
            notifyRecovered();
        }
    }

    private boolean sourcesHeard() {
        long now = parts.timers().nanos();
        if (logReadNanos == NEVER) {
            return peerAnswered && now - startNanos >= LOG_PREFERRED_NANOS;
        }
        return peerAnswered || gossip.peers() == 0 || now - logReadNanos >= PEERS_PREFERRED_NANOS;
    }

    private String self() {
        return parts.self().nodeId();
    }

    /**
     * An announcement that waits until it is safe.
     *
     * @param callback takes whether it is
     * @param sinceNanos since when it waits, in nanoseconds
     */
    private record Waiting(Consumer<Boolean> callback, long sinceNanos) {}
}
