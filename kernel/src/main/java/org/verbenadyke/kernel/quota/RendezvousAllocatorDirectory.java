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
 * Finds the allocators by rendezvous hashing over the live members. Thread-safe.
 */
public final class RendezvousAllocatorDirectory implements AllocatorDirectory {
    /** How long a lost node may still run behind a network partition and allocate its share, in nanoseconds. */
    private static final long LOST_NANOS = 30_000_000_000L;

    /** How long after its start a node may not know all members yet, in nanoseconds. */
    private static final long STARTUP_NANOS = 3_000_000_000L;

    /** How long a starting node must have learned of no other member, in nanoseconds: some rounds of gossip. */
    private static final long QUIET_NANOS = 400_000_000L;

    private final TimerService timers;
    private final Supplier<MemberRecord> self;
    private final MemberTable table;
    private final long startNanos;
    private volatile Snapshot snapshot;

    private RendezvousAllocatorDirectory(TimerService timers, Supplier<MemberRecord> self, MemberTable table) {
        this.timers = timers;
        this.self = self;
        this.table = table;
        this.startNanos = timers.nanos();
        this.snapshot = new Snapshot(0, List.of(), startNanos, new ConcurrentHashMap<>());
    }

    /**
     * Creates a node's view of the allocators.
     *
     * @param timers the clock
     * @param self the node's record
     * @param table the members that the node knows
     * @return the directory
     */
    public static RendezvousAllocatorDirectory of(TimerService timers, Supplier<MemberRecord> self, MemberTable table) {
        return new RendezvousAllocatorDirectory(timers, self, table);
    }

    @Override
    public Optional<MemberRecord> allocator(String team) {
        Snapshot s = current();
        return s.byTeam().computeIfAbsent(team, t -> highest(s.alive(), t));
    }

    @Override
    public boolean isLocal(String team) {
        return allocator(team)
                .filter(d -> d.nodeId().equals(self.get().nodeId()))
                .isPresent();
    }

    @Override
    public double share() {
        int alive = Math.max(1, current().alive().size());
        return (double) alive / (alive + table.possiblyPartitioned(timers.nanos(), LOST_NANOS));
    }

    @Override
    public boolean membershipStable() {
        long now = timers.nanos();
        boolean starting = now - startNanos < STARTUP_NANOS;
        return !starting || now - current().sinceNanos() >= QUIET_NANOS;
    }

    @Override
    public int aliveMembers() {
        return current().alive().size();
    }

    @Override
    public void membersChanged() {
        current();
    }

    @Override
    public long sinceNanos() {
        return current().sinceNanos();
    }

    private Snapshot current() {
        Snapshot known = snapshot;
        long digest = table.digest();
        if (known.digest() == digest) {
            return known;
        }
        List<MemberRecord> alive = table.present().stream()
                .filter(r -> r.state() == MemberState.ALIVE)
                .toList();
        boolean same = ids(alive).equals(ids(known.alive()));
        Snapshot next = new Snapshot(
                digest,
                alive,
                same ? known.sinceNanos() : timers.nanos(),
                same ? known.byTeam() : new ConcurrentHashMap<>());
        snapshot = next;
        return next;
    }

    private static List<String> ids(List<MemberRecord> members) {
        return members.stream().map(MemberRecord::nodeId).sorted().toList();
    }

    private static Optional<MemberRecord> highest(List<MemberRecord> members, String team) {
        MemberRecord best = null;
        long highestHash = Long.MIN_VALUE;
        for (MemberRecord r : members) {
            long hash = Rendezvous.hash(r.nodeId(), team);
            if (best == null || hash > highestHash) {
                best = r;
                highestHash = hash;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * The live members, as of one state of the table.
     *
     * @param digest the table's hash
     * @param alive the live members
     * @param sinceNanos since when the same members have been alive, in nanoseconds
     * @param byTeam the allocators found so far
     */
    private record Snapshot(
            long digest, List<MemberRecord> alive, long sinceNanos, Map<String, Optional<MemberRecord>> byTeam) {}
}
