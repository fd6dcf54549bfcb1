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
import org.verbenadyke.kernel.core.UpstreamRegistration;
import org.verbenadyke.kernel.engine.RoutedRequest;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.quarantine.QuarantineStatus;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.serve.UpstreamPort;

/**
 * A fleet whose callers send lookups, each with a path of its own, and now and then one that crashes the upstream that
 * runs it. A crashed upstream restarts after one to two seconds. The counts are taken at the upstreams.
 */
final class CrashingFleet {
    /** The path of the lookup that crashes every upstream. */
    static final String CRASHING_PATH = "/lookup/bad";

    /** A run counts as late this long after the third crash, at nodes that were undisturbed for as long. */
    static final long STABILITY_NANOS = 3 * Lab.SECOND;

    private static final List<Location> LOCATIONS =
            List.of(new Location("r", "dc-1"), new Location("r", "dc-2"), new Location("r", "dc-3"));
    private static final FleetOperation LOOKUP = FleetOperation.of("lookup", "well-index", 90, 1_200, 5_000);
    private static final String SENT_BY = "sent-by";
    private static final int SLOTS = 237;
    private static final long MIN_UPSTREAM_DOWN_NANOS = Lab.SECOND;
    private static final long NODE_DOWN_NANOS = 800 * Lab.MILLI;
    private static final long TTL_NANOS = 5 * Lab.SECOND;
    private static final int CRASHES_TO_QUARANTINE = 3;

    private final Lab lab;
    private final double lookupsPerSecond;
    private final Map<LabServer, CrashingUpstream> upstreams = new HashMap<>();
    private final Map<String, Long> disturbedUntilNanos = new HashMap<>();
    private final Set<Endpoint> isolated = new HashSet<>();
    private final List<Long> crashTimesNanos = new ArrayList<>();
    private Optional<Long> nodeKillDelayNanos = Optional.empty();
    private int lateRuns;
    private int lateRunsAnywhere;
    private int lookups;
    private int answered;
    private int quarantinedLookups;
    private int crashingAnswered;
    private long sent;

    private CrashingFleet(long seed, int servers, double lookupsPerSecond) {
        this.lab = Lab.create(seed, CoreSettings.with(CallerFleet.policy()), false);
        this.lookupsPerSecond = lookupsPerSecond;
        lab.add(ServiceSpec.of("well-index", servers, SLOTS, 1), LOCATIONS);
        lab.add(ServiceSpec.of("permit-desk", servers * 2, SLOTS, 1), LOCATIONS);
        lab.startAll();
        lab.advance(Lab.SECOND);
        lab.servers().forEach(this::startUpstream);
        lab.advance(STABILITY_NANOS);
        long end = lab.clock().nanos() + 1_000 * Lab.SECOND;
        generateLookups(end);
    }

    /** Starts a fleet under its usual load. */
    static CrashingFleet start(long seed, int servers, double lookupsPerSecond) {
        return new CrashingFleet(seed, servers, lookupsPerSecond);
    }

    /** Sends the crashing lookup repeatedly to random nodes, for the given time. */
    void sendCrashing(long nanos, long everyNanos) {
        sendCrashing(nanos, everyNanos, 1);
    }

    /** Like {@link #sendCrashing(long, long)}, with several copies at the same moment. */
    void sendCrashing(long nanos, long everyNanos, int copies) {
        for (long at = 0; at < nanos; at += everyNanos) {
            lab.clock().after(at + lab.random().nextLong(everyNanos / 2), () -> {
                for (int i = 0; i < copies; i++) {
                    new CallerRequest(CRASHING_PATH, true).send();
                }
            });
        }
    }

    void advance(long nanos) {
        lab.advance(nanos);
    }

    /** Crashes upstreams one after the other, not caused by any request. */
    void crashUpstreams(int count, long gapNanos) {
        List<LabServer> servers = lab.servers("well-index");
        for (int i = 0; i < count; i++) {
            LabServer server = servers.get(i % servers.size());
            lab.clock().after(i * gapNanos, () -> upstreams.get(server).crash());
        }
    }

    /** From now on, kills the node colocated with a crashed upstream after the given delay; the node restarts. */
    void killNodesOfCrashedUpstreams(long afterNanos) {
        nodeKillDelayNanos = Optional.of(afterNanos);
    }

    /** Kills a node every {@code gapNanos}, in turn. */
    void killNodes(long forNanos, long gapNanos) {
        for (long at = 0; at < forNanos; at += gapNanos) {
            LabServer server =
                    lab.servers().get((int) (at / gapNanos) % lab.servers().size());
            lab.clock().after(at, () -> restart(server));
        }
    }

    /** Kills all nodes at the same moment; they restart without any kept state. */
    void killAllNodes() {
        lab.servers().forEach(this::restart);
    }

    /** Isolates the first nodes from all others for the given time. */
    void isolate(int count, long nanos) {
        lab.servers().stream().limit(count).forEach(s -> isolated.add(s.endpoint()));
        lab.net().partition((a, b) -> isolated.contains(a) != isolated.contains(b));
        lab.servers().stream().limit(count).forEach(s -> markDisturbed(s, nanos));
        lab.clock().after(nanos, () -> {
            lab.net().partition((a, b) -> false);
            isolated.clear();
        });
    }

    /** Returns the number of upstream crashes. */
    int crashes() {
        return crashTimesNanos.size();
    }

    /** Returns how often undisturbed nodes sent the crashing lookup on, later than {@link #STABILITY_NANOS} allows. */
    int lateRuns() {
        return lateRuns;
    }

    /** Returns how often any node sent the crashing lookup on, later than {@link #STABILITY_NANOS} allows. */
    int lateRunsAnywhere() {
        return lateRunsAnywhere;
    }

    /** Returns whether every running node quarantines the crashing lookup. */
    boolean quarantinedEverywhere() {
        Message.Content crashing = content(CRASHING_PATH, "");
        return lab.servers().stream()
                .filter(LabServer::up)
                .allMatch(s ->
                        s.node().core().quarantine().statusAtEntry(crashing) instanceof QuarantineStatus.Quarantined);
    }

    /** Returns how many bytes all nodes have sent in datagrams. */
    long bytesInDatagrams() {
        return lab.net().bytesInDatagrams();
    }

    /** Returns the share of the other lookups that were answered. */
    double answeredShare() {
        return lookups == 0 ? 1 : (double) answered / lookups;
    }

    /** Returns how many of the other lookups were refused as quarantined. */
    int quarantinedLookups() {
        return quarantinedLookups;
    }

    @Override
    public String toString() {
        return crashes() + " crashes, " + lateRuns + " late runs, " + lateRunsAnywhere + " at any node, " + answered
                + " of " + lookups + " others answered, " + quarantinedLookups + " quarantined, " + crashingAnswered
                + " answers to the crashing one";
    }

    private static Message.Content content(String path, String sender) {
        return new Message.Content("GET", path, List.of(new HeaderField(SENT_BY, sender)), new byte[0]);
    }

    private void generateLookups(long end) {
        long gap = (long) (-Math.log(1 - lab.random().nextDouble()) * Lab.SECOND / lookupsPerSecond);
        lab.clock().after(gap, () -> {
            if (lab.clock().nanos() < end) {
                new CallerRequest("/lookup/" + sent++, false).send();
                generateLookups(end);
            }
        });
    }

    private void startUpstream(LabServer server) {
        LabNode node = server.node();
        if (node.process().killed()) {
            return;
        }
        CrashingUpstream upstream = new CrashingUpstream(node.process(), lab.random(), new ColocatedHost(server));
        upstreams.put(server, upstream);
        node.process()
                .run(() -> node.core()
                        .attachUpstream(UpstreamRegistration.of(server.spec().name(), upstream)
                                .withSlots(SLOTS)));
    }

    private void restart(LabServer server) {
        if (server.node().process().killed()) {
            return;
        }
        lab.crashNode(server);
        markDisturbed(server, NODE_DOWN_NANOS);
        lab.clock().after(NODE_DOWN_NANOS, () -> {
            lab.restartNode(server, 1_000 * Lab.SECOND);
            lab.clock().after(MIN_UPSTREAM_DOWN_NANOS, () -> startUpstream(server));
        });
    }

    private void markDisturbed(LabServer server, long forNanos) {
        disturbedUntilNanos.merge(server.id(), lab.clock().nanos() + forNanos, Math::max);
    }

    private boolean undisturbed(String id) {
        return lab.clock().nanos() - disturbedUntilNanos.getOrDefault(id, -STABILITY_NANOS) >= STABILITY_NANOS;
    }

    /** Connects an upstream with its server and counts its crashes. */
    private final class ColocatedHost implements CrashingUpstream.Host {
        private final LabServer server;

        private ColocatedHost(LabServer server) {
            this.server = server;
        }

        @Override
        public boolean crashesUpstream(UpstreamPort.HandOver handOver) {
            if (!handOver.content().path().equals(CRASHING_PATH)) {
                return false;
            }
            List<HeaderField> fields = handOver.content().headers();
            String sender = fields.getFirst().value();
            boolean late = crashTimesNanos.size() >= CRASHES_TO_QUARANTINE
                    && lab.clock().nanos() - crashTimesNanos.get(CRASHES_TO_QUARANTINE - 1) > STABILITY_NANOS;
            lateRunsAnywhere += late ? 1 : 0;
            if (late && undisturbed(sender) && undisturbed(server.id())) {
                lateRuns++;
            }
            return true;
        }

        @Override
        public void crashed() {
            crashTimesNanos.add(lab.clock().nanos());
            LabNode node = server.node();
            lab.clock().after(Lab.MILLI, () -> node.process().run(node.core()::detachUpstream));
            nodeKillDelayNanos.ifPresent(after -> lab.clock().after(after, () -> restart(server)));
            long down = MIN_UPSTREAM_DOWN_NANOS + lab.random().nextLong(Lab.SECOND);
            lab.clock().after(down, () -> startUpstream(server));
        }
    }

    /** One request of a caller, which retries a refused request once at a random node. */
    private final class CallerRequest implements AnswerSink {
        private final String path;
        private final boolean crashing;
        private final long firstSentNanos = lab.clock().nanos();
        private int tries;

        private CallerRequest(String path, boolean crashing) {
            this.path = path;
            this.crashing = crashing;
            lookups += crashing ? 0 : 1;
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
                    TTL_NANOS,
                    tries > 1 ? lab.clock().nanos() - firstSentNanos : 0);
            entry.node().core().engine().submit(routed, this);
        }

        @Override
        public void head(int status, List<HeaderField> headers) {
            // Only the end of the answer counts.
        }

        @Override
        public void data(byte[] bytes) {
            // Only the end of the answer counts.
        }

        @Override
        public void end() {
            answered += crashing ? 0 : 1;
            crashingAnswered += crashing ? 1 : 0;
        }

        @Override
        public void refused(Refusal refusal) {
            if (tries == 1) {
                long after = refusal.state() == RunState.NOT_RUN ? refusal.retryAfterMillis() : 0;
                lab.clock().after(Math.min(after, 1_600) * Lab.MILLI + Lab.MILLI, this::send);
                return;
            }
            quarantinedLookups += !crashing && refusal.reason().label().equals("quarantined") ? 1 : 0;
        }

        @Override
        public void aborted() {
            // The caller doesn't retry.
        }
    }
}
