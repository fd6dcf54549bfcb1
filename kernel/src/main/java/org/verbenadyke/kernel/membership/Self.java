package org.verbenadyke.kernel.membership;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.verbenadyke.kernel.time.TimerService;

/**
 * The record that a node keeps of itself; nobody else raises its version.
 */
final class Self {
    private final TimerService timers;
    private final AtomicReference<MemberRecord> record;

    Self(MemberRecord start, TimerService timers) {
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

    /** Answers what others say of this node, when it isn't what the node says itself. */
    Optional<MemberRecord> refute(MemberRecord said) {
        MemberRecord mine = record.get();
        if (said.incarnation() > mine.incarnation() && mine.state() != MemberState.LEFT) {
            return Optional.of(record.updateAndGet(r -> outranking(r, said)));
        }
        boolean aboutMe = said.incarnation() == mine.incarnation() && said.version() >= mine.version();
        if (!aboutMe || said.equals(mine) || mine.state() == MemberState.LEFT) {
            return Optional.empty();
        }
        int more = said.state().present() ? 0 : 1;
        return Optional.of(record.updateAndGet(
                r -> next(r, Math.max(r.version(), said.version()) + 1, r.state(), r.service(), r.epoch() + more)));
    }

    /** Goes on above a record of an earlier start whose clock was ahead; it would outrank this start for ever. */
    private MemberRecord outranking(MemberRecord r, MemberRecord said) {
        return next(r, said.incarnation() + 1, r.version() + 1, r.state(), r.service(), r.epoch());
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
