package org.verbenadyke.kernel.follow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Decides whether this node follows the operators' record by reading the store, or learns of changes from its peers.
 * Thread-safe.
 *
 * <p>Load pattern: every call to the store is paid for, and with a follower on each node the calls grow with nodes
 * times changes (ten per node at a start, one per node and change, one per node and second while the store rejects it).
 * So only a few nodes of each data centre follow the record, and gossip spreads the age of the newest answer that some
 * node had of the store. When that answer grows old, a few other nodes at a time read the record once, different ones
 * in each turn, until one of them has an answer. A follower that waits for an answer counts for nothing, since its
 * connection may be silent.
 */
public final class FollowDuty {
    /** How many answers of the store the followers of the fleet together have within the timeout. */
    private static final int ANSWERS_PER_TIMEOUT = 3;

    /** The turns after the first in which the number of substitutes doubles, for when most nodes lost the store. */
    private static final int DOUBLED_TURNS = 2;

    /** The substitutes of each later turn: the store is down for nearly all, and calls in vain are paid for. */
    private static final int OUTAGE_SUBSTITUTES = 2;

    /** The shortest poll, of a fleet with few followers. */
    private static final long MIN_POLL_MILLIS = 250;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NO_TURN = -1;
    private static final String FOLLOWER_DUTY = "readers";
    private static final String TURN_DUTY_PREFIX = "turn ";

    private final TimerService timers;
    private final FollowSettings settings;
    private final Supplier<MemberRecord> self;
    private final MemberTable table;
    private final RoutePlanStore plans;
    private final PlanCurrency currency;
    private final long startNanos;
    private volatile boolean registered;
    private volatile Ranking cachedRanking;
    private long lastTurn = NO_TURN;

    private FollowDuty(
            TimerService timers,
            FollowSettings settings,
            Supplier<MemberRecord> self,
            MemberTable table,
            RoutePlanStore plans) {
        this.timers = timers;
        this.settings = settings;
        this.self = self;
        this.table = table;
        this.plans = plans;
        this.currency = PlanCurrency.of(timers, plans, settings.boundNanos());
        this.startNanos = timers.nanos();
    }

    /**
     * Creates the duty of a node that starts.
     *
     * @param timers the clock
     * @param settings how many nodes follow, and when substitutes follow
     * @param self this node's record
     * @param table the members
     * @param plans the plan in force
     * @return the duty
     */
    public static FollowDuty of(
            TimerService timers,
            FollowSettings settings,
            Supplier<MemberRecord> self,
            MemberTable table,
            RoutePlanStore plans) {
        return new FollowDuty(timers, settings, self, table, plans);
    }

    /**
     * Returns whether this node is one of the designated followers, which read while all is well.
     *
     * @return whether this node is designated, by the members that it knows now
     */
    public boolean designated() {
        MemberRecord me = self.get();
        if (me.state() == MemberState.DRAINING) {
            return false;
        }
        return ranking(me).follower();
    }

    /**
     * Returns whether this node is a designated follower and knows enough other members to be sure of that.
     *
     * @return whether this node is designated and has been up for a while
     */
    public boolean isFollower() {
        return membershipStable() && designated();
    }

    /**
     * Returns whether to begin reading now; called several times a second while this node doesn't read. A turn to
     * substitute is returned once.
     *
     * @return whether this node should send requests to the store
     */
    public synchronized boolean shouldStart() {
        if (keepsReading()) {
            return true;
        }
        long timeout = plans.plan().isPresent() ? settings.timeoutNanos() : settings.firstTimeoutNanos();
        long ageNanos = currency.ageMillis() * NANOS_PER_MILLI;
        long overdue = Math.min(ageNanos, timers.nanos() - startNanos) - timeout;
        if (overdue < 0) {
            lastTurn = NO_TURN;
            return false;
        }
        // Turns follow the time of day, so that nodes agree on them that don't know of the same answer.
        long turn = timers.wallMillis() * NANOS_PER_MILLI / settings.turnNanos();
        if (turn == lastTurn) {
            return false;
        }
        lastTurn = turn;
        int rank = MemberRank.of(
                self.get().nodeId(), TURN_DUTY_PREFIX + turn, table.present(), r -> r.state() == MemberState.ALIVE);
        return rank < substitutes(overdue / settings.turnNanos());
    }

    /**
     * Returns whether to wait for the next change after a read; a substitute reads once.
     *
     * @return whether this node follows the record
     */
    public boolean keepsReading() {
        return membershipStable() ? designated() : registered;
    }

    /**
     * Returns how long a follower may wait for a change before it reads again. The more followers the fleet has, the
     * longer each one waits, so that the store answers some of them a few times within the timeout.
     *
     * @param random the source of randomness, so that followers don't read at the same time
     * @return the time, in milliseconds
     */
    public long pollMillis(RandomGenerator random) {
        long mean =
                settings.timeoutNanos() / NANOS_PER_MILLI * ranking(self.get()).followers() / ANSWERS_PER_TIMEOUT;
        return Math.max(MIN_POLL_MILLIS, mean / 2 + random.nextLong(Math.max(1, mean)));
    }

    /**
     * Returns how current the plan of this node is known to be.
     *
     * @return the record
     */
    public PlanCurrency currency() {
        return currency;
    }

    /** Called when this node is registered on the log: it then reads at once, for the nodes that find it there. */
    public void registered() {
        registered = true;
    }

    private int substitutes(long turnsOverdue) {
        return turnsOverdue > DOUBLED_TURNS ? OUTAGE_SUBSTITUTES : settings.substitutesPerTurn() << turnsOverdue;
    }

    private Ranking ranking(MemberRecord me) {
        long digest = table.digest();
        Ranking known = cachedRanking;
        if (known == null || known.digest() != digest) {
            // Called ten times a second, and ranking visits all members: done only when the members changed.
            known = rank(me, digest);
            cachedRanking = known;
        }
        return known;
    }

    private Ranking rank(MemberRecord me, long digest) {
        List<MemberRecord> present = table.present();
        Map<Location, Integer> alive = new HashMap<>(Map.of(me.location(), 0));
        present.forEach(r -> alive.merge(r.location(), r.state() == MemberState.ALIVE ? 1 : 0, Integer::sum));
        int rank = MemberRank.of(
                me.nodeId(),
                FOLLOWER_DUTY,
                present,
                r -> r.state() == MemberState.ALIVE && r.location().equals(me.location()));
        int perLocation = Math.max(1, settings.followers() / alive.size());
        int followers =
                alive.values().stream().mapToInt(n -> Math.min(n, perLocation)).sum();
        return new Ranking(digest, rank < perLocation, Math.max(1, followers));
    }

    private boolean membershipStable() {
        return timers.nanos() - startNanos >= settings.settleNanos();
    }

    /**
     * Whether this node ranks among the followers of its data centre.
     *
     * @param digest the hash of the member table for which the rank was computed
     * @param follower whether the node ranks among the followers
     * @param followers how many followers the fleet has
     */
    private record Ranking(long digest, boolean follower, int followers) {}
}
