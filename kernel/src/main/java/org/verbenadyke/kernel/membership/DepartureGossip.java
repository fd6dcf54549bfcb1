package org.verbenadyke.kernel.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;

import org.verbenadyke.kernel.concurrent.SerialExecutor;
import org.verbenadyke.kernel.departure.DepartureTable;
import org.verbenadyke.kernel.departure.NodeDepartures;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Spreads which starts of upstreams have departed, and asks the other nodes for those of this node after its start. A
 * departure is pushed to a few nodes, which confirm it and forward it once; the gossip rounds compare hashes and repair
 * what the pushes missed. Runs on the serial executor of {@link Gossip}.
 */
public final class DepartureGossip {
    private static final long NO_TICKET = 0;

    /** The ticket of the questions after the start; the revisions of departures begin after it. */
    private static final long QUESTION = -1;

    /** The time until the next nodes are asked, or told, if too few have answered. */
    private static final long REPEAT_NANOS = 100_000_000L;

    /** How often a departure is pushed at short intervals; nodes that don't answer by then are out of reach. */
    private static final int FREQUENT_PUSHES = 10;

    private static final long RARE_REPEAT_NANOS = 1_000_000_000L;

    /** Nodes whose departures fit into a datagram that isn't fragmented, if a node has one or two. */
    private static final int MAX_NODES_PER_DATAGRAM = 8;

    /** The nodes whose departures are sent after one comparison. */
    private static final int MAX_COMPARED = 256;

    private static final long MIN_COMPARE_INTERVAL_NANOS = 500_000_000L;

    private final String self;
    private final TimerService timers;
    private final GossipSettings settings;
    private final SerialExecutor serial;
    private final MemberTable members;
    private final PeerSelector peers;
    private final DepartureTable departures;
    private final BiConsumer<Endpoint, GossipMessage> port;
    private final Set<String> confirmedBy = new HashSet<>();
    private final Set<Endpoint> asked = new HashSet<>();
    private int pushes;
    private volatile long published;
    private volatile int confirmations;
    private volatile boolean recovered;
    private volatile Runnable confirmedListener = () -> {};
    private volatile Runnable answerListener = () -> {};
    private volatile Runnable learnedOwnListener = () -> {};
    private long comparedNanos;

    DepartureGossip(
            String self,
            Gossip.Parts parts,
            GossipSettings settings,
            SerialExecutor serial,
            PeerSelector peers,
            BiConsumer<Endpoint, GossipMessage> port) {
        this.self = self;
        this.timers = parts.timers();
        this.settings = settings;
        this.serial = serial;
        this.members = parts.table();
        this.peers = peers;
        this.departures = parts.departures();
        this.port = port;
        this.comparedNanos = timers.nanos() - MIN_COMPARE_INTERVAL_NANOS;
    }

    /** Starts to ask the other nodes for the departures of this node. */
    void start() {
        timers.after(REPEAT_NANOS, () -> serial.run(this::ask));
    }

    /**
     * Subscribes to confirmations of published departures.
     *
     * @param listener called when another node has confirmed the departures published last
     */
    public void onConfirmed(Runnable listener) {
        confirmedListener = listener;
    }

    /**
     * Subscribes to answers about this node's departures.
     *
     * @param listener called when a node has answered that knows what the nodes knew before this one started
     */
    public void onAnswer(Runnable listener) {
        answerListener = listener;
    }

    /**
     * Subscribes to departures of this node's upstream that others knew and this node didn't.
     *
     * @param listener called after some were learned
     */
    public void onLearnedOwn(Runnable listener) {
        learnedOwnListener = listener;
    }

    /**
     * Sends this node's departures to some others until enough have confirmed them.
     *
     * @param revision the number of the change; higher than that of the change before
     */
    public void publish(long revision) {
        serial.run(() -> {
            confirmedBy.clear();
            confirmations = 0;
            published = revision;
            pushes = 0;
            push(revision);
        });
    }

    /**
     * Counts the nodes that have confirmed this node's departures.
     *
     * @param revision the number of the newest change
     * @return the nodes, 0 if a later change was published
     */
    public int confirmations(long revision) {
        return published == revision ? confirmations : 0;
    }

    /**
     * Counts the other nodes that may be running.
     *
     * @return the known ones
     */
    public int peers() {
        return (int)
                members.present().stream().filter(r -> !r.nodeId().equals(self)).count();
    }

    /** Called when this node knows its departures, and can tell others what it knows of theirs. */
    public void recovered() {
        recovered = true;
    }

    void receive(Endpoint from, GossipMessage.Departures message) {
        boolean added = mergeAll(message.departures());
        if (message.ticket() != NO_TICKET) {
            List<NodeDepartures> theirs = List.of(departures.of(message.from()));
            port.accept(from, new GossipMessage.DeparturesAck(self, message.ticket(), recovered, theirs));
        }
        if (added) {
            send(message.departures());
        }
    }

    void receive(GossipMessage.DeparturesAck message) {
        mergeAll(message.departures());
        if (message.recovered()) {
            answerListener.run();
        }
        if (message.ticket() == published && confirmedBy.add(message.from())) {
            confirmations = confirmedBy.size();
            confirmedListener.run();
        }
    }

    /** Asks a node that this one hears from for the first time, as long as the departures aren't known. */
    void heardFrom(Endpoint from) {
        if (!recovered && asked.add(from)) {
            port.accept(from, question());
        }
    }

    /** Compares another node's fingerprint of departures, and sends that node those known here if it differs. */
    void compareFingerprint(Endpoint from, long theirs) {
        long now = timers.nanos();
        if (theirs != departures.fingerprint() && now - comparedNanos >= MIN_COMPARE_INTERVAL_NANOS) {
            comparedNanos = now;
            List<NodeDepartures> known = departures.exchanged(MAX_COMPARED);
            for (int i = 0; i < known.size(); i += MAX_NODES_PER_DATAGRAM) {
                List<NodeDepartures> part = known.subList(i, Math.min(known.size(), i + MAX_NODES_PER_DATAGRAM));
                port.accept(from, new GossipMessage.Departures(self, NO_TICKET, List.copyOf(part)));
            }
        }
    }

    long fingerprint() {
        return departures.fingerprint();
    }

    void sweep() {
        departures.expire();
    }

    private void ask() {
        if (recovered) {
            asked.clear();
            return;
        }
        peers.draw(members.present(), settings.fanOut()).forEach(r -> port.accept(r.endpoint(), question()));
        timers.after(REPEAT_NANOS, () -> serial.run(this::ask));
    }

    private GossipMessage.Departures question() {
        return new GossipMessage.Departures(self, QUESTION, List.of());
    }

    private void push(long revision) {
        if (published != revision || pushes > 0 && confirmations >= Math.min(settings.fanOut(), peers())) {
            return;
        }
        pushes++;
        GossipMessage.Departures message = new GossipMessage.Departures(self, revision, List.of(departures.of(self)));
        peers.draw(members.present(), settings.fanOut()).forEach(r -> port.accept(r.endpoint(), message));
        long pause = pushes < FREQUENT_PUSHES ? REPEAT_NANOS : RARE_REPEAT_NANOS;
        timers.after(pause, () -> serial.run(() -> push(revision)));
    }

    private void send(List<NodeDepartures> news) {
        GossipMessage.Departures message = new GossipMessage.Departures(self, NO_TICKET, news);
        peers.draw(members.present(), settings.fanOut()).forEach(r -> port.accept(r.endpoint(), message));
    }

    private boolean mergeAll(List<NodeDepartures> learned) {
        boolean added = false;
        for (NodeDepartures node : learned) {
            boolean news = departures.merge(node);
            added |= news;
            if (news && node.nodeId().equals(self)) {
                learnedOwnListener.run();
            }
        }
        return added;
    }
}
