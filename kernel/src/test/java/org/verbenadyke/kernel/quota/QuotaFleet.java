package org.verbenadyke.kernel.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RequestId;
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
 * Limiters of many nodes on a virtual clock, with message delays, network partitions, kills and restarts. A node learns
 * of a member's failure only some time after the failure.
 */
final class QuotaFleet {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;

    private static final long HOP_NANOS = 3 * MILLI;
    private static final long SUSPECTED_NANOS = 1_000 * MILLI;
    private static final long DECLARED_DEAD_NANOS = 3_000 * MILLI;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final SplittableRandom random;
    private final QuotaSettings settings;
    private final Map<String, Team> teams = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private double lostReplies;

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

    /** Adds a team, or changes its limit, on all nodes at once. */
    void putTeam(Team team) {
        teams.put(team.name(), team);
    }

    Team team(String name) {
        return teams.get(name);
    }

    boolean running(int node) {
        return nodes.get(node).running;
    }

    /** Returns the node that allocates a team's permits, as another node sees it. */
    int allocator(int seenBy, String team) {
        return Integer.parseInt(nodes.get(seenBy)
                .directory
                .allocator(team)
                .orElseThrow()
                .nodeId()
                .substring(1));
    }

    void admit(int node, String team, TeamLimiter.AdmissionCallback callback) {
        nodes.get(node).limiter.admit(teams.get(team), callback);
    }

    /** Sends a team's request to a node, and runs an action when it is admitted. */
    void admit(int node, String team, Runnable whenAdmitted, Consumer<Refusal> whenRefused) {
        admit(node, team, new TeamLimiter.AdmissionCallback() {
            @Override
            public void admitted() {
                whenAdmitted.run();
            }

            @Override
            public void refused(Refusal refusal) {
                whenRefused.accept(refusal);
            }
        });
    }

    /** Returns the random time until the next request, in nanoseconds. */
    long gap(double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) * SECOND / perSecond);
    }

    /** Returns whether a request belongs to the surplus of its team, as the node where it entered sees it. */
    boolean surplus(int node, String team, RequestId request) {
        return nodes.get(node).limiter.surplus(teams.get(team), request);
    }

    /** Loses a share of the replies to requests for permits from now on. */
    void loseReplies(double share) {
        lostReplies = share;
    }

    void returnPermit(int node, String team) {
        nodes.get(node).limiter.returnPermit(teams.get(team));
    }

    void kill(int node) {
        nodes.get(node).running = false;
        scheduleDetection(node);
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

    /** Moves a node to one side of a network partition. */
    void partition(int node, int group) {
        nodes.get(node).group = group;
        scheduleDetection(node);
    }

    /** Ends all partitions; nodes learn of each other again. */
    void heal() {
        nodes.forEach(n -> n.group = 0);
        clock.after(SUSPECTED_NANOS, () -> {
            nodes.forEach(n -> n.version++);
            nodes.forEach(a -> nodes.forEach(b -> {
                if (a.running && b.running) {
                    a.learn(b, MemberState.ALIVE);
                }
            }));
        });
    }

    private void scheduleDetection(int node) {
        for (Node other : nodes) {
            clock.after(SUSPECTED_NANOS, () -> markFailedIfUnreachable(other, nodes.get(node), MemberState.SUSPECT));
            clock.after(DECLARED_DEAD_NANOS, () -> markFailedIfUnreachable(other, nodes.get(node), MemberState.DEAD));
        }
    }

    private void markFailedIfUnreachable(Node a, Node b, MemberState state) {
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
        private RendezvousAllocatorDirectory directory;
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
            directory = RendezvousAllocatorDirectory.of(clock, () -> record(MemberState.ALIVE), table);
            limiter = TeamLimiter.create(
                    new TeamLimiter.Parts(
                            "n" + number,
                            clock,
                            () -> random,
                            directory,
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
                    other.limiter.received(new ReplyLink(this, from, other), message);
                }
            });
        }

        private long hop() {
            return HOP_NANOS / 2 + random.nextLong(HOP_NANOS);
        }
    }

    /** Delivers answers to the requesting node. */
    private final class ReplyLink implements Link {
        private final Node requester;
        private final TeamLimiter limiter;
        private final Node responder;

        private ReplyLink(Node requester, TeamLimiter limiter, Node responder) {
            this.requester = requester;
            this.limiter = limiter;
            this.responder = responder;
        }

        @Override
        public void send(Message message) {
            if (lostReplies > 0 && random.nextDouble() < lostReplies) {
                return;
            }
            clock.after(requester.hop(), () -> {
                if (requester.running && requester.limiter == limiter && requester.group == responder.group) {
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
            return responder.incarnation;
        }

        @Override
        public void adjustAwaited(int more) {
            // Nobody watches the link.
        }
    }

    /** Counts the outcomes of one team's requests, and how many a single bucket that sees all of them would refuse. */
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

        /** Counts a request that is about to be sent. */
        void countRequest(RateLimit limit) {
            double refilled = (double) (clock.nanos() - levelNanos) / SECOND * limit.perSecond();
            level = Math.min(limit.burst(), level + refilled);
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

        int requestCount() {
            return admittedCount() + refusedCount();
        }

        /** Returns how many requests within the limit were refused. */
        int wronglyRefused() {
            return Math.max(0, refusedCount() - overLimit);
        }

        /** Returns the maximum number of requests admitted in any window. */
        int maxAdmittedIn(long windowNanos) {
            int max = 0;
            int first = 0;
            for (int last = 0; last < admittedAt.size(); last++) {
                while (admittedAt.get(last) - admittedAt.get(first) >= windowNanos) {
                    first++;
                }
                max = Math.max(max, last - first + 1);
            }
            return max;
        }
    }
}
