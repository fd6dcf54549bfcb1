package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.verbenadyke.kernel.call.AnswerSink;
import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.engine.RoutedRequest;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.QuarantineStatus;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * A fleet whose callers ask for lookups, each for another, and now and then for one under which the upstream ends that
 * works on it. An upstream that ended is back after a second or two. Counts by what the upstreams see.
 */
final class EndingFleet {
    /** The path that no upstream bears. */
    static final String BAD = "/lookup/bad";

    /** For how long a node must have been undisturbed to count, and how late after the third end it must know. */
    static final long STABILITY = 3 * Lab.SECOND;

    private static final List<Location> PLACES =
            List.of(new Location("r", "dc-1"), new Location("r", "dc-2"), new Location("r", "dc-3"));
    private static final FleetOperation LOOKUP = FleetOperation.of("lookup", "well-index", 90, 1_200, 5_000);
    private static final String SENT_BY = "sent-by";
    private static final int SLOTS = 237;
    private static final long LEAST_DOWN = Lab.SECOND;
    private static final long NODE_DOWN = 800 * Lab.MILLI;
    private static final long TTL = 5 * Lab.SECOND;
    private static final int ENOUGH_ENDS = 3;

    private final Lab lab;
    private final double lookupsPerSecond;
    private final Map<LabServer, EndingUpstream> upstreams = new HashMap<>();
    private final Map<String, Long> disturbedNanos = new HashMap<>();
    private final Set<Endpoint> cutOff = new HashSet<>();
    private final List<Long> endsNanos = new ArrayList<>();
    private Optional<Long> killAfterNanos = Optional.empty();
    private int lateRuns;
    private int lateRunsAnywhere;
    private int lookups;
    private int answered;
    private int heldLookups;
    private int badAnswers;
    private long sent;

    private EndingFleet(long seed, int servers, double lookupsPerSecond) {
        this.lab = Lab.create(seed, CoreSettings.with(CallerFleet.policy()), false);
        this.lookupsPerSecond = lookupsPerSecond;
        lab.add(ServiceSpec.of("well-index", servers, SLOTS, 1), PLACES);
        lab.add(ServiceSpec.of("permit-desk", servers * 2, SLOTS, 1), PLACES);
        lab.startAll();
        lab.advance(Lab.SECOND);
        lab.servers().forEach(this::startUpstream);
        lab.advance(STABILITY);
        long end = lab.world().nanos() + 1_000 * Lab.SECOND;
        arrive(end);
    }

    /** Starts a fleet under its usual load. */
    static EndingFleet start(long seed, int servers, double lookupsPerSecond) {
        return new EndingFleet(seed, servers, lookupsPerSecond);
    }

    /** Lets the bad lookup come again and again at any node, for a time. */
    void sendBad(long nanos, long everyNanos) {
        sendBad(nanos, everyNanos, 1);
    }

    /** The same from callers that each send several copies at the same moment. */
    void sendBad(long nanos, long everyNanos, int copies) {
        for (long at = 0; at < nanos; at += everyNanos) {
            lab.world().after(at + lab.random().nextLong(everyNanos / 2), () -> {
                for (int i = 0; i < copies; i++) {
                    new Asked(BAD, true).send();
                }
            });
        }
    }

    void advance(long nanos) {
        lab.advance(nanos);
    }

    /** Ends upstreams that run what others bear well, one after the other. */
    void endUpstreams(int count, long gapNanos) {
        List<LabServer> servers = lab.servers("well-index");
        for (int i = 0; i < count; i++) {
            LabServer server = servers.get(i % servers.size());
            lab.world().after(i * gapNanos, () -> upstreams.get(server).end());
        }
    }

    /** Kills the node beside each upstream that ends from now on, a moment after that, for a while. */
    void killNodesBesideEndedUpstreams(long afterNanos) {
        killAfterNanos = Optional.of(afterNanos);
    }

    /** Kills a node each {@code gapNanos}, in turn. */
    void killNodes(long forNanos, long gapNanos) {
        for (long at = 0; at < forNanos; at += gapNanos) {
            LabServer server =
                    lab.servers().get((int) (at / gapNanos) % lab.servers().size());
            lab.world().after(at, () -> restart(server));
        }
    }

    /** Kills all nodes at the same moment; they start again with nothing kept. */
    void killAllNodes() {
        lab.servers().forEach(this::restart);
    }

    /** Cuts some nodes off from all others for a time. */
    void cut(int count, long nanos) {
        lab.servers().stream().limit(count).forEach(s -> cutOff.add(s.endpoint()));
        lab.net().partition((a, b) -> cutOff.contains(a) != cutOff.contains(b));
        lab.servers().stream().limit(count).forEach(s -> disturbed(s, nanos));
        lab.world().after(nanos, () -> {
            lab.net().partition((a, b) -> false);
            cutOff.clear();
        });
    }

    /** Returns how often an upstream ended. */
    int ends() {
        return endsNanos.size();
    }

    /** Returns how often undisturbed nodes sent the bad lookup on that had ended three upstreams long enough before. */
    int lateRuns() {
        return lateRuns;
    }

    /** Returns how often any node did. */
    int lateRunsAnywhere() {
        return lateRunsAnywhere;
    }

    /** Tells whether every node that runs holds the bad lookup back. */
    boolean knownEverywhere() {
        Message.Content bad = content(BAD, "");
        return lab.servers().stream()
                .filter(LabServer::up)
                .allMatch(s -> s.node().core().quarantine().statusAtEntry(bad) instanceof QuarantineStatus.Quarantined);
    }

    /** Returns what all nodes have sent each other in datagrams. */
    long bytesInDatagrams() {
        return lab.net().bytesInDatagrams();
    }

    /** Returns the share of the other lookups that were answered. */
    double answeredShare() {
        return lookups == 0 ? 1 : (double) answered / lookups;
    }

    /** Returns how many of the other lookups were refused for what was taken for their fault. */
    int heldLookups() {
        return heldLookups;
    }

    @Override
    public String toString() {
        return ends() + " ends, " + lateRuns + " late runs, " + lateRunsAnywhere + " of any node, " + answered + " of "
                + lookups + " others answered, " + heldLookups + " held, " + badAnswers + " answers to the bad one";
    }

    private static Message.Content content(String path, String sender) {
        return new Message.Content("GET", path, List.of(new HeaderField(SENT_BY, sender)), new byte[0]);
    }

    private void arrive(long end) {
        long gap = (long) (-Math.log(1 - lab.random().nextDouble()) * Lab.SECOND / lookupsPerSecond);
        lab.world().after(gap, () -> {
            if (lab.world().nanos() < end) {
                new Asked("/lookup/" + sent++, false).send();
                arrive(end);
            }
        });
    }

    private void startUpstream(LabServer server) {
        LabNode node = server.node();
        if (node.process().killed()) {
            return;
        }
        EndingUpstream upstream = new EndingUpstream(node.process(), lab.random(), new Beside(server));
        upstreams.put(server, upstream);
        node.process().run(() -> node.core().attachUpstream(server.spec().name(), upstream, SLOTS));
    }

    private void restart(LabServer server) {
        if (server.node().process().killed()) {
            return;
        }
        lab.crashNode(server);
        disturbed(server, NODE_DOWN);
        lab.world().after(NODE_DOWN, () -> {
            lab.restartNode(server, 1_000 * Lab.SECOND);
            lab.world().after(LEAST_DOWN, () -> startUpstream(server));
        });
    }

    private void disturbed(LabServer server, long forNanos) {
        disturbedNanos.merge(server.id(), lab.world().nanos() + forNanos, Math::max);
    }

    private boolean inTouch(String id) {
        return lab.world().nanos() - disturbedNanos.getOrDefault(id, -STABILITY) >= STABILITY;
    }

    /** One upstream's place beside its node. */
    private final class Beside implements EndingUpstream.Host {
        private final LabServer server;

        private Beside(LabServer server) {
            this.server = server;
        }

        @Override
        public boolean bad(UpstreamPort.HandOver handOver) {
            if (!handOver.content().path().equals(BAD)) {
                return false;
            }
            List<HeaderField> fields = handOver.content().headers();
            String sender = fields.getFirst().value();
            boolean late =
                    endsNanos.size() >= ENOUGH_ENDS && lab.world().nanos() - endsNanos.get(ENOUGH_ENDS - 1) > STABILITY;
            lateRunsAnywhere += late ? 1 : 0;
            if (late && inTouch(sender) && inTouch(server.id())) {
                lateRuns++;
            }
            return true;
        }

        @Override
        public void ended() {
            endsNanos.add(lab.world().nanos());
            LabNode node = server.node();
            lab.world().after(Lab.MILLI, () -> node.process().run(node.core()::detachUpstream));
            killAfterNanos.ifPresent(after -> lab.world().after(after, () -> restart(server)));
            long down = LEAST_DOWN + lab.random().nextLong(Lab.SECOND);
            lab.world().after(down, () -> startUpstream(server));
        }
    }

    /** One request of a caller, which sends it once more wherever it likes unless it was answered. */
    private final class Asked implements AnswerSink {
        private final String path;
        private final boolean bad;
        private final long since = lab.world().nanos();
        private int tries;

        private Asked(String path, boolean bad) {
            this.path = path;
            this.bad = bad;
            lookups += bad ? 0 : 1;
        }

        void send() {
            tries++;
            List<LabServer> up = lab.servers().stream().filter(LabServer::up).toList();
            if (up.isEmpty()) {
                return;
            }
            LabServer entry = up.get(lab.random().nextInt(up.size()));
            RoutedRequest routed = new RoutedRequest(
                    LOOKUP.route(),
                    LOOKUP.service(),
                    content(path, entry.id()),
                    Importance.NORMAL,
                    Optional.empty(),
                    TTL,
                    tries > 1 ? lab.world().nanos() - since : 0);
            entry.node().core().engine().submit(routed, this);
        }

        @Override
        public void head(int status, List<HeaderField> headers) {
            // Only the end counts.
        }

        @Override
        public void data(byte[] bytes) {
            // Only the end counts.
        }

        @Override
        public void end() {
            answered += bad ? 0 : 1;
            badAnswers += bad ? 1 : 0;
        }

        @Override
        public void refused(Refusal refusal) {
            if (tries == 1) {
                long after = refusal.state() == RunState.NOT_RUN ? refusal.retryAfterMillis() : 0;
                lab.world().after(Math.min(after, 1_600) * Lab.MILLI + Lab.MILLI, this::send);
                return;
            }
            heldLookups += !bad && refusal.reason().label().equals("quarantined") ? 1 : 0;
        }

        @Override
        public void aborted() {
            // The caller gives up.
        }
    }
}
