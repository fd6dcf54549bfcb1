package org.verbenadyke.kernel.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.config.ConfigState;
import org.verbenadyke.kernel.departure.DepartureTable;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.kernel.quarantine.Quarantine;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Spreads what the nodes know of each other and of the configuration, and detects nodes that no longer answer. Updates
 * are pushed at once to a few nodes; rounds at a fixed period check one node each and repair what the pushes missed.
 * Everything runs on a serial executor.
 */
public final class Gossip {
    private static final long NO_TICKET = 0;

    private final SelfRecord self;
    private final GossipSettings settings;
    private final TimerService timers;
    private final DatagramPort port;
    private final Counters counters;
    private final GossipListener listener;
    private final PeerSelector peers;
    private final MemberTable table;
    private final FailureDetector detector;
    private final AntiEntropy antiEntropy;
    private final SerialExecutor serial = SerialExecutor.create();
    private final RumorQueue rumors;
    private final CrashGossip crashGossip;
    private final DepartureGossip departureGossip;
    private final Set<Endpoint> seeds = new HashSet<>();
    private boolean pushScheduled;
    private volatile long lastReceivedNanos;
    private volatile boolean receivedAny;
    private volatile boolean stopped;

    private Gossip(Parts parts, GossipSettings settings, MemberRecord start, GossipListener listener) {
        this.settings = settings;
        this.timers = parts.timers();
        this.port = parts.port();
        this.counters = parts.counters();
        this.listener = listener;
        this.table = parts.table();
        this.self = new SelfRecord(start, timers);
        this.peers = new PeerSelector(start.nodeId(), start.location(), parts.random());
        this.detector = new FailureDetector(timers, settings, serial, table, peers, new Host());
        this.antiEntropy = new AntiEntropy(start.nodeId(), timers, table, this::send);
        this.rumors = new RumorQueue(table);
        this.crashGossip = new CrashGossip(start.nodeId(), parts, settings, serial, peers, this::send);
        this.departureGossip = new DepartureGossip(start.nodeId(), parts, settings, serial, peers, this::send);
        this.lastReceivedNanos = timers.nanos();
    }

    /**
     * Creates the gossip of a node and subscribes it to the timers.
     *
     * @param parts the components that gossip uses
     * @param settings how updates spread and failures are detected
     * @param start the first record of this node
     * @param seeds nodes to contact at the start
     * @param listener handles updates
     * @return the gossip
     */
    public static Gossip start(
            Parts parts, GossipSettings settings, MemberRecord start, List<Endpoint> seeds, GossipListener listener) {
        Gossip gossip = new Gossip(parts, settings, start, listener);
        gossip.seeds.addAll(seeds);
        gossip.crashGossip.start();
        gossip.departureGossip.start();
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
     * Returns when the last message of another node was received.
     *
     * @return the time in nanoseconds
     */
    public long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /**
     * Returns whether a message of any other node was received since the start.
     *
     * @return whether one was received
     */
    public boolean receivedAny() {
        return receivedAny;
    }

    /**
     * Changes this node's record and spreads it.
     *
     * @param state the node's state
     * @param service the service of the upstream colocated with the node, empty if there is none
     * @return the new record
     */
    public MemberRecord change(MemberState state, String service) {
        MemberRecord record = self.change(state, service);
        serial.run(() -> learn(record));
        return record;
    }

    /**
     * Gives this node's upstream a new id, since others may have declared the old one dead.
     *
     * @return the new record
     */
    public MemberRecord renew() {
        MemberRecord record = self.renew();
        serial.run(() -> learn(record));
        return record;
    }

    /**
     * Merges a record read from the log.
     *
     * @param record the record
     */
    public void merge(MemberRecord record) {
        serial.run(() -> learn(record));
    }

    /**
     * Returns what spreads the departures of upstreams.
     *
     * @return the gossip of departures
     */
    public DepartureGossip departures() {
        return departureGossip;
    }

    /** Informs some other nodes at once that this one has new routes. */
    public void pushPlan() {
        serial.run(this::push);
    }

    /** Sends the newest configuration to some other nodes. */
    public void pushConfig() {
        serial.run(() -> {
            Optional<ConfigState> state = listener.config();
            state.ifPresent(s -> peers.draw(table.present(), settings.fanOut())
                    .forEach(r -> send(r.endpoint(), new GossipMessage.ConfigUpdate(s))));
        });
    }

    /** Stops sending messages. */
    public void stop() {
        stopped = true;
    }

    /**
     * Handles a datagram.
     *
     * @param from where the sender listens
     * @param message the message
     */
    public void received(Endpoint from, GossipMessage message) {
        counters.count(Event.GOSSIP_RECEIVED);
        lastReceivedNanos = timers.nanos();
        receivedAny = true;
        serial.run(() -> handle(from, message));
    }

    private void handle(Endpoint from, GossipMessage message) {
        departureGossip.heardFrom(from);
        switch (message) {
            case GossipMessage.Rumor m -> {
                m.updates().forEach(this::learn);
                if (m.ticket() != NO_TICKET) {
                    send(from, new GossipMessage.Ack(self().nodeId(), m.ticket(), summary(), rumors.next()));
                } else if (m.summary().planVersion() < listener.planVersion()) {
                    // A starting node gets its routes after one round trip, not at the next round 250 ms later.
                    send(from, rumor(NO_TICKET));
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
            case GossipMessage.Buckets m -> antiEntropy.sendDifferences(from, m);
            case GossipMessage.CrashReports m -> crashGossip.receive(m);
            case GossipMessage.Departures m -> departureGossip.receive(from, m);
            case GossipMessage.DeparturesAck m -> departureGossip.receive(m);
            case GossipMessage.Records m -> m.records().forEach(this::learn);
            case GossipMessage.ConfigRequest m ->
                listener.config().ifPresent(s -> send(from, new GossipMessage.ConfigUpdate(s)));
            case GossipMessage.ConfigUpdate m -> listener.configReceived(m.state());
        }
    }

    private void round() {
        serial.run(() -> {
            table.expire(timers.nanos(), timers.wallMillis(), settings.retentionNanos());
            crashGossip.sweep();
            departureGossip.sweep();
            List<MemberRecord> present = table.present();
            List<MemberRecord> drawn = peers.draw(present, 1);
            drawn.forEach(detector::check);
            if (drawn.isEmpty()) {
                seeds.forEach(s -> send(s, rumor(NO_TICKET)));
            }
        });
    }

    private void learn(MemberRecord record) {
        if (record.nodeId().equals(self().nodeId())) {
            learnOfSelf(record);
            return;
        }
        accept(record);
    }

    private void learnOfSelf(MemberRecord record) {
        Optional<MemberRecord> answer = self.refute(record);
        if (answer.isPresent()) {
            accept(answer.get());
            if (!record.state().present() || answer.get().incarnation() != record.incarnation()) {
                listener.declaredDead(answer.get());
            }
            return;
        }
        accept(record);
    }

    private void accept(MemberRecord record) {
        if (!table.merge(record, timers.nanos())) {
            return;
        }
        rumors.add(record.nodeId());
        listener.membersChanged();
        listener.learned(record);
        if (!pushScheduled) {
            pushScheduled = true;
            timers.after(settings.pushNanos(), () -> serial.run(this::push));
        }
    }

    private void push() {
        pushScheduled = false;
        GossipMessage.Rumor rumor = rumor(NO_TICKET);
        peers.draw(table.present(), settings.fanOut()).forEach(r -> send(r.endpoint(), rumor));
    }

    private GossipMessage.Rumor rumor(long ticket) {
        return new GossipMessage.Rumor(self().nodeId(), ticket, summary(), rumors.next());
    }

    private GossipMessage.Summary summary() {
        return new GossipMessage.Summary(
                table.digest(),
                listener.config().map(ConfigState::version).orElse(-1L),
                listener.planVersion(),
                listener.planAgeMillis(),
                crashGossip.fingerprint(),
                departureGossip.fingerprint());
    }

    private void compare(Endpoint from, GossipMessage.Summary theirs) {
        listener.planAgeReceived(theirs.planVersion(), theirs.planAgeMillis());
        if (theirs.configVersion() > listener.config().map(ConfigState::version).orElse(-1L)) {
            send(from, new GossipMessage.ConfigRequest(self().nodeId()));
        }
        if (theirs.planVersion() > listener.planVersion()) {
            listener.newerPlanFound(from, theirs.planVersion());
        }
        antiEntropy.compareDigest(from, theirs.digest());
        crashGossip.compareFingerprint(from, theirs.crashesFingerprint());
        departureGossip.compareFingerprint(from, theirs.departuresFingerprint());
    }

    private void send(Endpoint to, GossipMessage message) {
        if (!stopped) {
            counters.count(Event.GOSSIP_SENT);
            port.send(to, message);
        }
    }

    /**
     * Lets the detector send messages and update records.
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
     * The components that gossip uses.
     *
     * @param timers the clock and timers
     * @param port sends datagrams
     * @param random the source of randomness
     * @param counters counts messages
     * @param table the members
     * @param quarantine the requests that were in flight at crashes of upstreams
     * @param departures the departed starts of upstreams
     */
    public record Parts(
            TimerService timers,
            DatagramPort port,
            RandomGenerator random,
            Counters counters,
            MemberTable table,
            Quarantine quarantine,
            DepartureTable departures) {}
}
