package org.verbenadyke.kernel.follow;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

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
 * So only a few nodes of each data centre follow the record, and gossip spreads the age of the newest follower
 * heartbeat: the last time that one of them was known to read. When that heartbeat grows old, a few other nodes at a
 * time substitute for the followers, different ones in each turn, until one of them succeeds.
 */
public final class FollowDuty {
    /** The age reported when no follower was ever known: exceeds every timeout. */
    public static final int NEVER_MILLIS = PlanCurrency.NEVER_MILLIS;

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
    private final AtomicLong newestFollowerNanos;
    private volatile boolean following;
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
        this.currency = PlanCurrency.of(timers, plans);
        this.startNanos = timers.nanos();
        this.newestFollowerNanos = new AtomicLong(startNanos - NEVER_MILLIS * NANOS_PER_MILLI);
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
        long digest = table.digest();
        Ranking known = cachedRanking;
        if (known == null || known.digest() != digest) {
            // Called ten times a second, and ranking visits all members: done only when the members changed.
            known = new Ranking(digest, ranksAmongFollowers(me));
            cachedRanking = known;
        }
        return known.follower();
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
        long now = timers.nanos();
        if (membershipStable() ? designated() : registered) {
            return true;
        }
        long timeout = plans.plan().isPresent() ? settings.timeoutNanos() : settings.firstTimeoutNanos();
        long overdue = Math.min(now - newestFollowerNanos.get(), now - startNanos) - timeout;
        if (following || overdue < 0) {
            lastTurn = NO_TURN;
            return false;
        }
        long turn = overdue / settings.turnNanos();
        if (turn == lastTurn) {
            return false;
        }
        lastTurn = turn;
        int rank = MemberRank.of(
                self.get().nodeId(), TURN_DUTY_PREFIX + turn, table.present(), r -> r.state() == MemberState.ALIVE);
        return rank < settings.substitutesPerTurn();
    }

    /**
     * Returns how current the plan of this node is known to be.
     *
     * @return the record
     */
    public PlanCurrency currency() {
        return currency;
    }

    /**
     * Returns what this node knows of its plan now.
     *
     * @return the status
     */
    public PlanStatus planStatus() {
        return currency.status(followerAgeMillis());
    }

    /** Called when this node is registered on the log: it then reads at once, for the nodes that find it there. */
    public void registered() {
        registered = true;
    }

    /**
     * Sets whether this node has the operators' newest change and waits for the next.
     *
     * @param now whether this node follows now
     */
    public void setFollowing(boolean now) {
        if (now) {
            recordFollower(timers.nanos());
        }
        following = now;
    }

    /**
     * Handles the age of the newest follower heartbeat that another node knows of.
     *
     * @param planVersion the version that the other node has in force
     * @param ageMillis the age, in milliseconds
     */
    public void followerAgeReceived(long planVersion, int ageMillis) {
        currency.heard(planVersion);
        recordFollower(timers.nanos() - Math.max(0, ageMillis) * NANOS_PER_MILLI);
    }

    /**
     * Returns the age of the newest known follower heartbeat.
     *
     * @return the age in milliseconds, at most {@link #NEVER_MILLIS}
     */
    public int followerAgeMillis() {
        if (following) {
            return 0;
        }
        long millis = (timers.nanos() - newestFollowerNanos.get()) / NANOS_PER_MILLI;
        return (int) Math.min(NEVER_MILLIS, Math.max(0, millis));
    }

    private boolean ranksAmongFollowers(MemberRecord me) {
        List<MemberRecord> present = table.present();
        Set<Location> locations = new HashSet<>(Set.of(me.location()));
        present.forEach(r -> locations.add(r.location()));
        int rank = MemberRank.of(
                me.nodeId(),
                FOLLOWER_DUTY,
                present,
                r -> r.state() == MemberState.ALIVE && r.location().equals(me.location()));
        return rank < Math.max(1, settings.followers() / locations.size());
    }

    private boolean membershipStable() {
        return timers.nanos() - startNanos >= settings.settleNanos();
    }

    private void recordFollower(long at) {
        newestFollowerNanos.accumulateAndGet(at, (a, b) -> b - a > 0 ? b : a);
    }

    /**
     * Whether this node ranks among the followers of its data centre.
     *
     * @param digest the hash of the member table for which the rank was computed
     * @param follower whether the node ranks among the followers
     */
    private record Ranking(long digest, boolean follower) {}
}
