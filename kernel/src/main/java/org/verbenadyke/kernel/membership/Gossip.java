package org.verbenadyke.kernel.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.config.ConfigState;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Spreads what the nodes know of each other and of the configuration, and finds nodes that no longer answer. News is
 * pushed on at once to a few nodes; rounds at a fixed period check one node each and mend what the pushes missed.
 * Everything happens inside a serial runner.
 */
public final class Gossip {
    private static final long TICKET_NONE = 0;

    private final Self self;
    private final GossipSettings settings;
    private final TimerService timers;
    private final DatagramPort port;
    private final Counters counters;
    private final Listener listener;
    private final PeerChoice peers;
    private final MemberTable table;
    private final FailureDetector detector;
    private final TableDifferences differences;
    private final SerialExecutor serial = SerialExecutor.create();
    private final HotNews hot;
    private final EndGossip ends;
    private final Set<Endpoint> seeds = new HashSet<>();
    private boolean pushing;
    private volatile long heardNanos;
    private volatile boolean heardAny;
    private volatile boolean stopped;

    private Gossip(Parts parts, GossipSettings settings, MemberRecord start, Listener listener) {
        this.settings = settings;
        this.timers = parts.timers();
        this.port = parts.port();
        this.counters = parts.counters();
        this.listener = listener;
        this.table = parts.table();
        this.self = new Self(start, timers);
        this.peers = new PeerChoice(start.nodeId(), start.location(), parts.random());
        this.detector = new FailureDetector(timers, settings, serial, table, peers, new Host());
        this.differences = new TableDifferences(start.nodeId(), timers, table, this::send);
        this.hot = new HotNews(table);
        this.ends = new EndGossip(start.nodeId(), parts, settings, serial, peers, this::send);
        this.heardNanos = timers.nanos();
    }

    /**
     * Creates the gossip of a node and subscribes it to the timers.
     *
     * @param parts what it works with
     * @param settings how news travels
     * @param start the first record of this node
     * @param seeds nodes to ask at the start
     * @param listener takes news
     * @return the gossip
     */
    public static Gossip start(
            Parts parts, GossipSettings settings, MemberRecord start, List<Endpoint> seeds, Listener listener) {
        Gossip gossip = new Gossip(parts, settings, start, listener);
        gossip.seeds.addAll(seeds);
        gossip.ends.start();
        gossip.serial.run(() -> gossip.learn(start));
        long jitter = parts.random().nextLong(settings.roundNanos());
        parts.timers().after(jitter, () -> parts.timers().every(settings.roundNanos(), gossip::round));
        return gossip;
    }

    /**
     * Returns this node's record.
     *
     * @return the newest
     */
    public MemberRecord self() {
        return self.record();
    }

    /**
     * Returns when another node was heard last.
     *
     * @return the time in nanoseconds
     */
    public long heardNanos() {
        return heardNanos;
    }

    /**
     * Tells whether any other node was heard since the start.
     *
     * @return whether one was
     */
    public boolean heardAny() {
        return heardAny;
    }

    /**
     * Changes this node's record and spreads it.
     *
     * @param state how the node fares
     * @param service the service of the upstream beside it, empty if there is none
     * @return the new record
     */
    public MemberRecord change(MemberState state, String service) {
        MemberRecord record = self.change(state, service);
        serial.run(() -> learn(record));
        return record;
    }

    /**
     * Gives this node's upstream a new id, since others may have given the old one up.
     *
     * @return the new record
     */
    public MemberRecord renew() {
        MemberRecord record = self.renew();
        serial.run(() -> learn(record));
        return record;
    }

    /**
     * Takes a record from the log.
     *
     * @param record the record
     */
    public void merge(MemberRecord record) {
        serial.run(() -> learn(record));
    }

    /** Tells some other nodes at once that this one has new routes. */
    public void pushPlan() {
        serial.run(this::push);
    }

    /** Tells others of a new configuration. */
    public void pushConfig() {
        serial.run(() -> {
            Optional<ConfigState> state = listener.config();
            state.ifPresent(s -> peers.draw(table.present(), settings.fanOut())
                    .forEach(r -> send(r.endpoint(), new GossipMessage.ConfigUpdate(s))));
        });
    }

    /** Stops telling others anything. */
    public void stop() {
        stopped = true;
    }

    /**
     * Takes a datagram.
     *
     * @param from where the sender listens
     * @param message the message
     */
    public void received(Endpoint from, GossipMessage message) {
        counters.count(Event.GOSSIP_RECEIVED);
        heardNanos = timers.nanos();
        heardAny = true;
        serial.run(() -> take(from, message));
    }

    private void take(Endpoint from, GossipMessage message) {
        switch (message) {
            case GossipMessage.Rumor m -> {
                m.updates().forEach(this::learn);
                if (m.ticket() != TICKET_NONE) {
                    send(from, new GossipMessage.Ack(self().nodeId(), m.ticket(), view(), hot.next()));
                } else if (m.summary().planVersion() < listener.planVersion()) {
                    // A node that starts has its routes in a round trip, not at the next round 250 ms later.
                    send(from, rumor(TICKET_NONE));
                }
                compare(from, m.summary());
            }
            case GossipMessage.Ack m -> {
                m.updates().forEach(this::learn);
                detector.answered(m.ticket());
                compare(from, m.summary());
            }
            case GossipMessage.Probe m -> detector.probe(m);
            case GossipMessage.ProbeAck m -> detector.answered(m.ticket());
            case GossipMessage.Buckets m -> differences.exchange(from, m);
            case GossipMessage.CrashReports m -> ends.take(m);
            case GossipMessage.Records m -> m.records().forEach(this::learn);
            case GossipMessage.ConfigRequest m ->
                listener.config().ifPresent(s -> send(from, new GossipMessage.ConfigUpdate(s)));
            case GossipMessage.ConfigUpdate m -> listener.configHeard(m.state());
        }
    }

    private void round() {
        serial.run(() -> {
            table.expire(timers.nanos(), timers.wallMillis(), settings.keptNanos());
            ends.sweep();
            List<MemberRecord> present = table.present();
            List<MemberRecord> drawn = peers.draw(present, 1);
            drawn.forEach(detector::check);
            if (drawn.isEmpty()) {
                seeds.forEach(s -> send(s, rumor(TICKET_NONE)));
            }
        });
    }

    private void learn(MemberRecord record) {
        if (record.nodeId().equals(self().nodeId())) {
            hearOfSelf(record);
            return;
        }
        accept(record);
    }

    private void hearOfSelf(MemberRecord record) {
        Optional<MemberRecord> answer = self.refute(record);
        if (answer.isPresent()) {
            accept(answer.get());
            if (!record.state().present() || answer.get().incarnation() != record.incarnation()) {
                listener.givenUp(answer.get());
            }
            return;
        }
        accept(record);
    }

    private void accept(MemberRecord record) {
        if (!table.merge(record, timers.nanos())) {
            return;
        }
        hot.add(record.nodeId());
        listener.membersChanged();
        listener.learned(record);
        if (!pushing) {
            pushing = true;
            timers.after(settings.pushNanos(), () -> serial.run(this::push));
        }
    }

    private void push() {
        pushing = false;
        GossipMessage.Rumor rumor = rumor(TICKET_NONE);
        peers.draw(table.present(), settings.fanOut()).forEach(r -> send(r.endpoint(), rumor));
    }

    private GossipMessage.Rumor rumor(long ticket) {
        return new GossipMessage.Rumor(self().nodeId(), ticket, view(), hot.next());
    }

    private GossipMessage.Summary view() {
        return new GossipMessage.Summary(
                table.digest(),
                listener.config().map(ConfigState::version).orElse(-1L),
                listener.planVersion(),
                listener.followedMillis(),
                ends.fingerprint());
    }

    private void compare(Endpoint from, GossipMessage.Summary theirs) {
        listener.followedHeard(theirs.followerAgeMillis());
        if (theirs.configVersion() > listener.config().map(ConfigState::version).orElse(-1L)) {
            send(from, new GossipMessage.ConfigRequest(self().nodeId()));
        }
        if (theirs.planVersion() > listener.planVersion()) {
            listener.newerPlanAt(from);
        }
        differences.seen(from, theirs.digest());
        ends.seen(from, theirs.crashesFingerprint());
    }

    private void send(Endpoint to, GossipMessage message) {
        if (!stopped) {
            counters.count(Event.GOSSIP_SENT);
            port.send(to, message);
        }
    }

    /**
     * Lets the detector send and tell.
     */
    private final class Host implements FailureDetector.Host {
        @Override
        public void send(Endpoint to, GossipMessage message) {
            Gossip.this.send(to, message);
        }

        @Override
        public void learn(MemberRecord record) {
            Gossip.this.learn(record);
        }

        @Override
        public GossipMessage.Rumor rumor(long ticket) {
            return Gossip.this.rumor(ticket);
        }

        @Override
        public MemberRecord self() {
            return Gossip.this.self();
        }
    }

    /**
     * What gossip works with.
     *
     * @param timers the time
     * @param port sends datagrams
     * @param random where randomness comes from
     * @param counters where messages are counted
     * @param table the members
     * @param quarantine what is known of requests under which upstreams end
     */
    public record Parts(
            TimerService timers,
            DatagramPort port,
            RandomGenerator random,
            Counters counters,
            MemberTable table,
            Quarantine quarantine) {}

    /**
     * Takes news.
     */
    public interface Listener {
        /** Takes the news that some member changed. */
        void membersChanged();

        /**
         * Takes the news that others had given this node up.
         *
         * @param renewed the record by which it came back
         */
        void givenUp(MemberRecord renewed);

        /**
         * Takes a record that was new.
         *
         * @param record the record
         */
        void learned(MemberRecord record);

        /**
         * Returns the version of the routes in force.
         *
         * @return the version, -1 if none is known
         */
        long planVersion();

        /**
         * Takes notice that another node has newer routes.
         *
         * @param node where it listens
         */
        void newerPlanAt(Endpoint node);

        /**
         * Returns how long ago some node was known to read the operators' record.
         *
         * @return the time since, in milliseconds
         */
        int followedMillis();

        /**
         * Takes another node's word on that.
         *
         * @param ageMillis the time since, in milliseconds
         */
        void followedHeard(int ageMillis);

        /**
         * Returns the configuration to tell others of.
         *
         * @return the configuration, if one is known
         */
        Optional<ConfigState> config();

        /**
         * Takes a configuration from another node.
         *
         * @param state the configuration and where on the log it stands
         */
        void configHeard(ConfigState state);
    }
}
