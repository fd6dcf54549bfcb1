package org.verbenadyke.bench.lab;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.follow.PlanFollower;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.kernel.route.RequestLimits;
import org.verbenadyke.kernel.route.RoutePlan;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

/**
 * A fleet whose nodes follow the operators' record, with members, gossip and links of production. Checks from outside
 * that each node in touch has every version in force within the bound, and that no node goes back.
 */
final class ConfigurationFleet {
    /** For how long nothing may have happened to a node before it counts as in touch. */
    private static final long STABILITY_NANOS = 3 * Lab.SECOND;

    private static final long CHECK_NANOS = 20 * Lab.MILLI;
    private static final int SLOTS = 8;
    private static final int SERVICE_MILLIS = 5;

    private final Lab lab;
    private final OperatorRecord record;
    private final long boundNanos;
    private final Map<LabServer, StorePath> paths = new HashMap<>();
    private final Map<LabServer, RoutePlanStore> plans = new HashMap<>();
    private final Map<RoutePlanStore, Long> versions = new HashMap<>();
    private final Map<LabServer, Long> disturbedNanos = new HashMap<>();
    private final Set<LabServer> isolated = new HashSet<>();
    private final Set<String> violations = new LinkedHashSet<>();
    private long storeDisturbedNanos = Long.MIN_VALUE / 2;
    private long longestNanos;

    private ConfigurationFleet(long seed, int nodes, int dataCentres, long boundNanos) {
        this.lab = Lab.create(
                seed, CoreSettings.withoutConfigLog(Policy.standard()).withConfigBound(boundNanos), false);
        this.record = new OperatorRecord(lab.clock());
        this.boundNanos = boundNanos;
        List<Location> locations = IntStream.range(0, dataCentres)
                .mapToObj(i -> new Location("region", "dc-" + i))
                .toList();
        lab.add(ServiceSpec.of("records", nodes, SLOTS, SERVICE_MILLIS, Operation.of("read")), locations);
    }

    /** Starts a fleet that knows a first version, and lets it settle. */
    static ConfigurationFleet start(long seed, int nodes, int dataCentres, long boundNanos) {
        ConfigurationFleet fleet = new ConfigurationFleet(seed, nodes, dataCentres, boundNanos);
        fleet.record.write();
        fleet.servers().forEach(s -> {
            fleet.paths.put(s, new StorePath());
            fleet.start(s);
        });
        fleet.lab.net().partition((a, b) -> fleet.isolated(a) || fleet.isolated(b));
        fleet.lab.clock().every(CHECK_NANOS, fleet::check);
        fleet.run(10 * Lab.SECOND);
        return fleet;
    }

    List<LabServer> servers() {
        return lab.servers();
    }

    Lab lab() {
        return lab;
    }

    OperatorRecord record() {
        return record;
    }

    void run(long nanos) {
        lab.advance(nanos);
    }

    /** Returns the nodes that are designated to follow the record now. */
    List<LabServer> designated() {
        return servers().stream()
                .filter(s -> s.up() && s.node().core().followDuty().designated())
                .toList();
    }

    /** Changes the path from a node to the store. */
    void path(LabServer server, StorePath.State state) {
        paths.get(server).become(state);
        disturb(server);
    }

    /** Lets readers hear nothing for a while; then the store drops its history. */
    void dropHistory(long deafNanos) {
        record.dropHistory(deafNanos);
        storeDisturbedNanos = lab.clock().nanos() + deafNanos;
    }

    /** Cuts a node off from all others, or ends that. */
    void isolate(LabServer server, boolean cut) {
        if (cut ? isolated.add(server) : isolated.remove(server)) {
            disturb(server);
        }
    }

    void kill(LabServer server) {
        lab.kill(server);
        disturb(server);
    }

    /** Starts a killed node without any state of before. */
    void restart(LabServer server) {
        start(server);
        disturb(server);
    }

    void pause(LabServer server) {
        server.node().process().pause();
        disturb(server);
    }

    void resume(LabServer server) {
        server.node().process().resume();
        disturb(server);
    }

    /** Returns what was seen to break a rule. */
    List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the longest time that a version took to be in force on a node in touch, in nanoseconds. */
    long longestNanos() {
        return longestNanos;
    }

    private void start(LabServer server) {
        RoutePlanStore store =
                RoutePlanStore.create(ConfigurationFleet::read, Counters.create(), new RoutePlanStore.Listener() {
                    @Override
                    public void applied(RoutePlan plan, long before, String source) {
                        server.node().core().plansChanged(source);
                    }

                    @Override
                    public void rejected(String source, List<String> problems) {
                        violations.add(server.id() + " rejected a document: " + problems);
                    }
                });
        plans.put(server, store);
        lab.usePlans(store);
        lab.start(server);
        PlanFollower.start(
                record.seenBy(server.node().process(), paths.get(server)),
                store,
                server.node().process(),
                lab::random,
                server.node().core().followDuty(),
                new PlanFollower.Listener() {});
    }

    private static RoutePlan read(byte[] document) {
        long version = Long.parseLong(new String(document, StandardCharsets.US_ASCII));
        return RoutePlan.of(version, List.of(), List.of(), RequestLimits.standard());
    }

    private boolean isolated(Endpoint endpoint) {
        return isolated.stream().anyMatch(s -> s.endpoint().equals(endpoint));
    }

    private void disturb(LabServer server) {
        disturbedNanos.put(server, lab.clock().nanos());
    }

    private boolean inTouch(LabServer server, long now) {
        return server.working()
                && !isolated.contains(server)
                && paths.get(server).state() == StorePath.State.OPEN
                && now - disturbedNanos.getOrDefault(server, Long.MIN_VALUE / 2) >= STABILITY_NANOS
                && now - server.upSinceNanos() >= STABILITY_NANOS;
    }

    private void checkNotBack(LabServer server, RoutePlanStore store) {
        Long before = versions.put(store, store.version());
        if (before != null && store.version() < before) {
            violations.add(server.id() + " went back from version " + before + " to " + store.version());
        }
    }

    private void check() {
        long now = lab.clock().nanos();
        List<OperatorRecord.Change> changes = record.changes();
        plans.forEach(this::checkNotBack);
        if (now - storeDisturbedNanos < STABILITY_NANOS) {
            return;
        }
        for (LabServer server : servers()) {
            if (!inTouch(server, now)) {
                continue;
            }
            long version = plans.get(server).version();
            for (OperatorRecord.Change c : changes.subList((int) Math.max(0, version), changes.size())) {
                long age = now - c.ackedNanos();
                longestNanos = Math.max(longestNanos, age);
                if (age > boundNanos) {
                    violations.add(server.id() + " lacks version " + c.version() + " acknowledged "
                            + c.ackedNanos() / Lab.MILLI + " ms after the start");
                }
            }
        }
    }
}
