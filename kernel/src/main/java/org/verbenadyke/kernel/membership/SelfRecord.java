package org.verbenadyke.kernel.membership;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.verbenadyke.kernel.time.TimerService;

/**
 * The record that a node keeps of itself; no other node increments its version.
 */
final class SelfRecord {
    private final TimerService timers;
    private final AtomicReference<MemberRecord> record;

    SelfRecord(MemberRecord start, TimerService timers) {
        this.timers = timers;
        this.record = new AtomicReference<>(start);
    }

    MemberRecord record() {
        return record.get();
    }

    MemberRecord change(MemberState state, String service) {
        return record.updateAndGet(r -> next(r, r.version() + 1, state, service, r.epoch()));
    }

    MemberRecord renew() {
        return record.updateAndGet(r -> next(r, r.version() + 1, r.state(), r.service(), r.epoch() + 1));
    }

    /**
     * Refutes a record of this node received from others that differs from the node's own; empty if nothing needs
     * refuting.
     */
    Optional<MemberRecord> refute(MemberRecord received) {
        MemberRecord mine = record.get();
        if (received.incarnation() > mine.incarnation() && mine.state() != MemberState.LEFT) {
            return Optional.of(record.updateAndGet(r -> superseding(r, received)));
        }
        boolean current = received.incarnation() == mine.incarnation() && received.version() >= mine.version();
        if (!current || received.equals(mine) || mine.state() == MemberState.LEFT) {
            return Optional.empty();
        }
        int epochIncrement = received.state().present() ? 0 : 1;
        return Optional.of(record.updateAndGet(r -> next(
                r, Math.max(r.version(), received.version()) + 1, r.state(), r.service(), r.epoch() + epochIncrement)));
    }

    /** Supersedes a record of an earlier start whose clock was ahead; that record would otherwise win for ever. */
    private MemberRecord superseding(MemberRecord r, MemberRecord received) {
        return next(r, received.incarnation() + 1, r.version() + 1, r.state(), r.service(), r.epoch());
    }

    private MemberRecord next(MemberRecord r, long version, MemberState state, String service, int epoch) {
        return next(r, r.incarnation(), version, state, service, epoch);
    }

    private MemberRecord next(
            MemberRecord r, long incarnation, long version, MemberState state, String service, int epoch) {
        return new MemberRecord(
                r.nodeId(),
                incarnation,
                version,
                state,
                r.endpoint(),
                r.control(),
                r.location(),
                service,
                timers.wallMillis(),
                epoch);
    }
}
