package org.verbenadyke.kernel.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.message.Link;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.team.RateLimit;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.time.VirtualTimerService;

/**
 * Limiters of many nodes on a virtual clock, with messages that take time, cuts, kills and restarts. Members are known
 * to have failed some time after they did.
 */
final class QuotaFleet {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;

    private static final long HOP_NANOS = 3 * MILLI;
    private static final long DETECTED_NANOS = 1_000 * MILLI;
    private static final long GIVEN_UP_NANOS = 3_000 * MILLI;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final SplittableRandom random;
    private final QuotaSettings settings;
    private final Map<String, Team> teams = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();

    QuotaFleet(int size, long seed, QuotaTolerance tolerance) {
        this.random = new SplittableRandom(seed);
        this.settings = QuotaSettings.with(tolerance);
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(Node::start);
        nodes.forEach(a -> nodes.forEach(b -> a.learn(b, MemberState.ALIVE)));
    }

    VirtualTimerService clock() {
        return clock;
    }

    SplittableRandom random() {
        return random;
    }

    int size() {
        return nodes.size();
    }

    /** Lists a team, or changes its limit, on all nodes at once. */
    void list(Team team) {
        teams.put(team.name(), team);
    }

    Team team(String name) {
        return teams.get(name);
    }

    boolean running(int node) {
        return nodes.get(node).running;
    }

    /** Returns the node that deals a team's permits as another sees it. */
    int dealer(int seenBy, String team) {
        return Integer.parseInt(
                nodes.get(seenBy).dealers.dealer(team).orElseThrow().nodeId().substring(1));
    }

    void admit(int node, String team, TeamLimiter.AdmissionCallback taker) {
        nodes.get(node).limiter.admit(teams.get(team), taker);
    }

    void giveBack(int node, String team) {
        nodes.get(node).limiter.returnPermit(teams.get(team));
    }

    void kill(int node) {
        nodes.get(node).running = false;
        noticed(node);
    }

    void restart(int node) {
        Node n = nodes.get(node);
        n.incarnation++;
        n.start();
        n.learn(n, MemberState.ALIVE);
        nodes.forEach(other -> clock.after(random.nextLong(500 * MILLI), () -> {
            if (other.running && n.group == other.group) {
                other.learn(n, MemberState.ALIVE);
                n.learn(other, MemberState.ALIVE);
            }
        }));
    }

    /** Moves a node to a side of a cut. */
    void cut(int node, int group) {
        nodes.get(node).group = group;
        noticed(node);
    }

    /** Ends all cuts; nodes learn of each other anew. */
    void heal() {
        nodes.forEach(n -> n.group = 0);
        clock.after(DETECTED_NANOS, () -> {
            nodes.forEach(n -> n.version++);
            nodes.forEach(a -> nodes.forEach(b -> {
                if (a.running && b.running) {
                    a.learn(b, MemberState.ALIVE);
                }
            }));
        });
    }

    private void noticed(int node) {
        for (Node other : nodes) {
            clock.after(DETECTED_NANOS, () -> doubt(other, nodes.get(node), MemberState.SUSPECT));
            clock.after(GIVEN_UP_NANOS, () -> doubt(other, nodes.get(node), MemberState.DEAD));
        }
    }

    private void doubt(Node a, Node b, MemberState state) {
        boolean apart = !a.running || !b.running || a.group != b.group;
        if (apart && a != b) {
            a.learn(b, state);
            b.learn(a, state);
        }
    }

    /** One node. */
    private final class Node {
        private final int number;
        private MemberTable table;
        private MemberDealers dealers;
        private TeamLimiter limiter;
        private boolean running;
        private int group;
        private long incarnation = 1;
        private long version;

        private Node(int number) {
            this.number = number;
        }

        private void start() {
            running = true;
            table = MemberTable.empty();
            dealers = MemberDealers.of(clock, () -> record(MemberState.ALIVE), table);
            limiter = TeamLimiter.create(
                    new TeamLimiter.Parts(
                            "n" + number,
                            clock,
                            () -> random,
                            dealers,
                            name -> Optional.ofNullable(teams.get(name)),
                            this::send),
                    settings);
        }

        private MemberRecord record(MemberState state) {
            Endpoint at = new Endpoint("h", number + 1);
            return new MemberRecord(
                    "n" + number, incarnation, version, state, at, at, new Location("r", "d"), "s", 0, 0);
        }

        private void learn(Node other, MemberState state) {
            table.merge(other.record(state), clock.nanos());
            limiter.membersChanged();
        }

        private void send(MemberRecord to, Message message, Runnable unreachable) {
            Node other = nodes.get(Integer.parseInt(to.nodeId().substring(1)));
            TeamLimiter from = limiter;
            clock.after(hop(), () -> {
                if (running && other.running && group == other.group) {
                    other.limiter.received(new Back(this, from, other), message);
                }
            });
        }

        private long hop() {
            return HOP_NANOS / 2 + random.nextLong(HOP_NANOS);
        }
    }

    /** Brings answers back. */
    private final class Back implements Link {
        private final Node asker;
        private final TeamLimiter limiter;
        private final Node answerer;

        private Back(Node asker, TeamLimiter limiter, Node answerer) {
            this.asker = asker;
            this.limiter = limiter;
            this.answerer = answerer;
        }

        @Override
        public void send(Message message) {
            clock.after(asker.hop(), () -> {
                if (asker.running && asker.limiter == limiter && asker.group == answerer.group) {
                    limiter.received(this, message);
                }
            });
        }

        @Override
        public void close() {
            // Nothing is kept open.
        }

        @Override
        public boolean closed() {
            return false;
        }

        @Override
        public long peerClock() {
            return 0;
        }

        @Override
        public long peerIncarnation() {
            return answerer.incarnation;
        }

        @Override
        public void adjustAwaited(int more) {
            // Nobody watches the link.
        }
    }

    /** Counts what becomes of one team's requests, beside what one bucket that sees all of them would do. */
    static final class Tally implements TeamLimiter.AdmissionCallback {
        private final VirtualTimerService clock;
        private final List<Long> admittedAt = new ArrayList<>();
        private int limited;
        private int uncertain;
        private double level;
        private long levelNanos;
        private int overLimit;

        Tally(VirtualTimerService clock, RateLimit limit) {
            this.clock = clock;
            this.level = limit.burst();
            this.levelNanos = clock.nanos();
        }

        /** Notes a request that is about to be sent. */
        void asks(RateLimit limit) {
            double flown = (double) (clock.nanos() - levelNanos) / SECOND * limit.perSecond();
            level = Math.min(limit.burst(), level + flown);
            levelNanos = clock.nanos();
            if (level >= 1) {
                level--;
            } else {
                overLimit++;
            }
        }

        @Override
        public void admitted() {
            admittedAt.add(clock.nanos());
        }

        @Override
        public void refused(Refusal refusal) {
            switch (refusal.reason()) {
                case RATE_LIMITED -> limited++;
                case TEAM_UNCERTAIN -> uncertain++;
                default -> throw new IllegalStateException(refusal.toString());
            }
        }

        int admittedCount() {
            return admittedAt.size();
        }

        int refusedCount() {
            return limited + uncertain;
        }

        int asked() {
            return admittedCount() + refusedCount();
        }

        /** Returns how many requests were refused that were within the limit. */
        int lost() {
            return Math.max(0, refusedCount() - overLimit);
        }

        /** Returns the most requests admitted in any window. */
        int mostIn(long windowNanos) {
            int most = 0;
            int first = 0;
            for (int last = 0; last < admittedAt.size(); last++) {
                while (admittedAt.get(last) - admittedAt.get(first) >= windowNanos) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            return most;
        }
    }
}
