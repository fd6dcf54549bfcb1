package org.verbenadyke.kernel.follow;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Decides whether this node reads the operators' record itself or learns of changes from its peers. Safe for many
 * threads.
 *
 * <p>Load pattern: every call to the store is paid for, and with a reader on each node calls grow with nodes times
 * changes (ten a node at a start, one a node and change, one a node and second while the store turns it away). So a
 * few nodes of each data centre read, and how long ago the last of them was known to read travels with the gossip. When
 * that sign grows old, a few other nodes at a time step in, others at each turn, until one of them succeeds.
 */
public final class FollowDuty {
    /** The age told when no reader was ever known: older than any patience. */
    public static final int NEVER_MILLIS = 3_600_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NO_TURN = -1;
    private static final String READERS = "readers";
    private static final String TURN = "turn ";

    private final TimerService timers;
    private final FollowSettings settings;
    private final Supplier<MemberRecord> self;
    private final MemberTable table;
    private final BooleanSupplier equipped;
    private final long startNanos;
    private final AtomicLong followedNanos;
    private volatile boolean setFollowing;
    private volatile boolean listed;
    private volatile Ranked ranked;
    private long turnTaken = NO_TURN;

    private FollowDuty(
            TimerService timers,
            FollowSettings settings,
            Supplier<MemberRecord> self,
            MemberTable table,
            BooleanSupplier equipped) {
        this.timers = timers;
        this.settings = settings;
        this.self = self;
        this.table = table;
        this.equipped = equipped;
        this.startNanos = timers.nanos();
        this.followedNanos = new AtomicLong(startNanos - NEVER_MILLIS * NANOS_PER_MILLI);
    }

    /**
     * Creates the duty of a node that starts.
     *
     * @param timers the time
     * @param settings how many read, and when others step in
     * @param self this node's record
     * @param table the members
     * @param equipped tells whether this node knows the routes
     * @return the duty
     */
    public static FollowDuty of(
            TimerService timers,
            FollowSettings settings,
            Supplier<MemberRecord> self,
            MemberTable table,
            BooleanSupplier equipped) {
        return new FollowDuty(timers, settings, self, table, equipped);
    }

    /**
     * Tells whether this node is one of those that read while all is well.
     *
     * @return whether it is, by the members that it knows now
     */
    public boolean designated() {
        MemberRecord me = self.get();
        if (me.state() == MemberState.DRAINING) {
            return false;
        }
        long digest = table.digest();
        Ranked known = ranked;
        if (known == null || known.digest() != digest) {
            // Asked ten times a second, and ranking walks all members: done only when they changed.
            known = new Ranked(digest, rankedHigh(me));
            ranked = known;
        }
        return known.high();
    }

    /**
     * Tells whether this node knows enough others to be sure that it is one of those that read.
     *
     * @return whether it is one, and has been up for a while
     */
    public boolean reader() {
        return settled() && designated();
    }

    /**
     * Tells whether to begin reading now; asked some times a second while this node doesn't. A turn to step in is told
     * once.
     *
     * @return whether this node is to ask the store
     */
    public synchronized boolean shouldStart() {
        long now = timers.nanos();
        if (settled() ? designated() : listed) {
            return true;
        }
        long patience = equipped.getAsBoolean() ? settings.patienceNanos() : settings.firstPatienceNanos();
        long over = Math.min(now - followedNanos.get(), now - startNanos) - patience;
        if (setFollowing || over < 0) {
            turnTaken = NO_TURN;
            return false;
        }
        long turn = over / settings.turnNanos();
        if (turn == turnTaken) {
            return false;
        }
        turnTaken = turn;
        int rank =
                MemberRank.of(self.get().nodeId(), TURN + turn, table.present(), r -> r.state() == MemberState.ALIVE);
        return rank < settings.vanguard();
    }

    /** Notes that this node stands among those that the log lists: it reads at once, for those that find it there. */
    public void listed() {
        listed = true;
    }

    /**
     * Notes whether this node has the operators' newest and waits for the next.
     *
     * @param now whether it has
     */
    public void setFollowing(boolean now) {
        if (now) {
            note(timers.nanos());
        }
        setFollowing = now;
    }

    /**
     * Takes another node's word on how long ago some node was known to read.
     *
     * @param ageMillis the time since, in milliseconds
     */
    public void heard(int ageMillis) {
        note(timers.nanos() - Math.max(0, ageMillis) * NANOS_PER_MILLI);
    }

    /**
     * Returns how long ago some node was known to read.
     *
     * @return milliseconds, at most {@link #NEVER_MILLIS}
     */
    public int followerAgeMillis() {
        if (setFollowing) {
            return 0;
        }
        long millis = (timers.nanos() - followedNanos.get()) / NANOS_PER_MILLI;
        return (int) Math.min(NEVER_MILLIS, Math.max(0, millis));
    }

    private boolean rankedHigh(MemberRecord me) {
        List<MemberRecord> present = table.present();
        Set<Location> places = new HashSet<>(Set.of(me.location()));
        present.forEach(r -> places.add(r.location()));
        int rank = MemberRank.of(
                me.nodeId(),
                READERS,
                present,
                r -> r.state() == MemberState.ALIVE && r.location().equals(me.location()));
        return rank < Math.max(1, settings.readers() / places.size());
    }

    private boolean settled() {
        return timers.nanos() - startNanos >= settings.settleNanos();
    }

    private void note(long at) {
        followedNanos.accumulateAndGet(at, (a, b) -> b - a > 0 ? b : a);
    }

    /**
     * Whether this node ranks among the readers of its data centre.
     *
     * @param digest the hash of the member table that it was worked out from
     * @param high whether it does
     */
    private record Ranked(long digest, boolean high) {}
}
