package org.verbenadyke.kernel.quota;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.routing.Rendezvous;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Names the dealers by rendezvous hashing over the members that are alive. Safe for many threads.
 */
public final class MemberDealers implements Dealers {
    /** How long a node that was lost may still run behind a cut and deal its part there, in nanoseconds. */
    private static final long LOST_NANOS = 30_000_000_000L;

    /** How long after its start a node doubts that it knows all members, in nanoseconds. */
    private static final long YOUNG_NANOS = 3_000_000_000L;

    /** How long a young node must have heard of no other member, in nanoseconds: some rounds of gossip. */
    private static final long QUIET_NANOS = 400_000_000L;

    private final TimerService timers;
    private final Supplier<MemberRecord> self;
    private final MemberTable table;
    private final long startNanos;
    private volatile View view;

    private MemberDealers(TimerService timers, Supplier<MemberRecord> self, MemberTable table) {
        this.timers = timers;
        this.self = self;
        this.table = table;
        this.startNanos = timers.nanos();
        this.view = new View(0, List.of(), startNanos, new ConcurrentHashMap<>());
    }

    /**
     * Creates the dealers as one node sees them.
     *
     * @param timers the time
     * @param self the node's record
     * @param table the members that it knows
     * @return the dealers
     */
    public static MemberDealers of(TimerService timers, Supplier<MemberRecord> self, MemberTable table) {
        return new MemberDealers(timers, self, table);
    }

    @Override
    public Optional<MemberRecord> dealer(String team) {
        View v = current();
        return v.byTeam().computeIfAbsent(team, t -> highest(v.alive(), t));
    }

    @Override
    public boolean here(String team) {
        return dealer(team).filter(d -> d.nodeId().equals(self.get().nodeId())).isPresent();
    }

    @Override
    public double share() {
        int alive = Math.max(1, current().alive().size());
        return (double) alive / (alive + table.lost(timers.nanos(), LOST_NANOS));
    }

    @Override
    public boolean settled() {
        long now = timers.nanos();
        boolean young = now - startNanos < YOUNG_NANOS;
        return !young || now - current().sinceNanos() >= QUIET_NANOS;
    }

    @Override
    public void membersChanged() {
        current();
    }

    @Override
    public long sinceNanos() {
        return current().sinceNanos();
    }

    private View current() {
        View known = view;
        long digest = table.digest();
        if (known.digest() == digest) {
            return known;
        }
        List<MemberRecord> alive = table.present().stream()
                .filter(r -> r.state() == MemberState.ALIVE)
                .toList();
        boolean same = ids(alive).equals(ids(known.alive()));
        View next = new View(
                digest,
                alive,
                same ? known.sinceNanos() : timers.nanos(),
                same ? known.byTeam() : new ConcurrentHashMap<>());
        view = next;
        return next;
    }

    private static List<String> ids(List<MemberRecord> members) {
        return members.stream().map(MemberRecord::nodeId).sorted().toList();
    }

    private static Optional<MemberRecord> highest(List<MemberRecord> members, String team) {
        MemberRecord best = null;
        long most = Long.MIN_VALUE;
        for (MemberRecord r : members) {
            long hash = Rendezvous.hash(r.nodeId(), team);
            if (best == null || hash > most) {
                best = r;
                most = hash;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * The members alive, as of one state of the table.
     *
     * @param digest the table's hash
     * @param alive the members alive
     * @param sinceNanos since when it has been these
     * @param byTeam the dealers found so far
     */
    private record View(
            long digest, List<MemberRecord> alive, long sinceNanos, Map<String, Optional<MemberRecord>> byTeam) {}
}
