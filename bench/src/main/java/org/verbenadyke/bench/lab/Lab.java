package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.core.UpstreamRegistration;
import org.verbenadyke.kernel.ledger.Breach;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.time.VirtualTimerService;

/**
 * An emulator that runs the production decision logic of many nodes in one thread on a virtual clock, with small fakes
 * for the network, the log and the upstreams. The same seed gives the same run.
 */
final class Lab {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000_000_000L;

    private static final long EPOCH_MILLIS = 1_800_000_000_000L;
    private static final int PORT = 7_000;
    private static final long NEAR_NANOS = 200_000L;
    private static final long FAR_NANOS = 1_500_000L;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(EPOCH_MILLIS);
    private final RandomGenerator random;
    private final VirtualNet net;
    private final FakeLog log;
    private final Effects effects = new Effects();
    private final Statements statements = new Statements();
    private final CoreSettings settings;
    private final List<LabServer> servers = new ArrayList<>();
    private final Map<Endpoint, Location> locations = new LinkedHashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final boolean naive;
    private RoutePlanStore plans = RoutePlanStore.disabled();
    private long incarnations = 1;

    private Lab(long seed, CoreSettings settings, boolean naive) {
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.settings = settings;
        this.naive = naive;
        this.net = new VirtualNet(clock, random, this::latency);
        this.log = new FakeLog(clock, random);
    }

    /** Creates an emulator without servers; {@code naive} makes upstreams queue without a bound, as in the baseline. */
    static Lab create(long seed, CoreSettings settings, boolean naive) {
        return new Lab(seed, settings, naive);
    }

    /** Makes the nodes that start from now on use the route plan of a store. */
    void usePlans(RoutePlanStore store) {
        plans = store;
    }

    void add(ServiceSpec spec, List<Location> locationCycle) {
        for (int i = 0; i < spec.servers(); i++) {
            Endpoint endpoint = new Endpoint("10.0.0." + servers.size(), PORT);
            Location location = locationCycle.get(servers.size() % locationCycle.size());
            LabServer server = new LabServer(spec.name() + "-" + (i + 1), spec, endpoint, location);
            locations.put(endpoint, location);
            servers.add(server);
        }
    }

    void startAll() {
        servers.forEach(this::start);
    }

    /** Starts a server's node and upstream without any state of an earlier run. */
    void start(LabServer server) {
        FakeUpstream upstream = newUpstream(server);
        if (naive) {
            upstream.naive();
        }
        startNode(server, upstream, MILLI);
    }

    /**
     * Starts a server's node without any state of an earlier run, colocated with the upstream that kept running or, if
     * that one was killed, with a new one.
     */
    void restartNode(LabServer server, long announcedAfterNanos) {
        FakeUpstream old = server.upstream();
        boolean killed = old.killed();
        FakeUpstream upstream = killed ? newUpstream(server) : old;
        startNode(server, upstream, announcedAfterNanos);
    }

    private void startNode(LabServer server, FakeUpstream upstream, long announcedAfterNanos) {
        ProcessTimers nodeProcess = new ProcessTimers(clock);
        Endpoint endpoint = server.endpoint();
        MemberRecord self = new MemberRecord(
                server.id(),
                incarnations++,
                0,
                MemberState.ALIVE,
                endpoint,
                endpoint,
                server.location(),
                "",
                clock.wallMillis(),
                0);
        LabNode node =
                LabNode.start(self, nodeProcess, net, log.seenBy(nodeProcess), random, settings, plans, breaches::add);
        upstream.colocateWith(node);
        server.setProcesses(node, upstream, clock.nanos());
        nodeProcess.after(announcedAfterNanos, () -> node.core().attachUpstream(registration(server, upstream)));
    }

    /** Kills a server's node and upstream. */
    void kill(LabServer server) {
        crashNode(server);
        server.upstream().kill();
    }

    /** Kills a server's node; the upstream keeps running. */
    void crashNode(LabServer server) {
        server.node().process().kill();
        net.detach(server.endpoint());
        server.upstream().nodeLost();
    }

    /** Replaces a killed upstream whose node kept running. */
    void replaceUpstream(LabServer server) {
        FakeUpstream upstream = newUpstream(server);
        upstream.colocateWith(server.node());
        server.setProcesses(server.node(), upstream, clock.nanos());
        server.node().process().run(() -> server.node().core().attachUpstream(registration(server, upstream)));
    }

    /** Returns the registration of an upstream with its node. */
    static UpstreamRegistration registration(LabServer server, FakeUpstream upstream) {
        return UpstreamRegistration.of(server.spec().name(), upstream)
                .withStart(upstream.statement().process().hashCode());
    }

    private FakeUpstream newUpstream(LabServer server) {
        return new FakeUpstream(server, new ProcessTimers(clock), random, effects, statements);
    }

    void advance(long nanos) {
        clock.advance(nanos);
    }

    VirtualTimerService clock() {
        return clock;
    }

    RandomGenerator random() {
        return random;
    }

    VirtualNet net() {
        return net;
    }

    FakeLog log() {
        return log;
    }

    Statements statements() {
        return statements;
    }

    Effects effects() {
        return effects;
    }

    List<Breach> breaches() {
        return breaches;
    }

    List<LabServer> servers() {
        return servers;
    }

    List<LabServer> servers(String service) {
        return servers.stream().filter(s -> s.spec().name().equals(service)).toList();
    }

    Location location(Endpoint endpoint) {
        return locations.get(endpoint);
    }

    private long latency(Endpoint from, Endpoint to) {
        boolean near = locations.get(from).equals(locations.get(to));
        long base = near ? NEAR_NANOS : FAR_NANOS;
        return base + random.nextLong(base / 2);
    }
}
