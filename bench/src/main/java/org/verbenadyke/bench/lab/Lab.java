package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.ledger.Breach;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.time.VirtualTimerService;

/**
 * The real decision logic of many nodes in one thread on a virtual clock, with small fakes for the net, the log and the
 * upstreams. The same seed gives the same run.
 */
final class Lab {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000_000_000L;

    private static final long EPOCH_MILLIS = 1_800_000_000_000L;
    private static final int PORT = 7_000;
    private static final long NEAR_NANOS = 200_000L;
    private static final long FAR_NANOS = 1_500_000L;

    private final VirtualTimerService world = VirtualTimerService.startingAt(EPOCH_MILLIS);
    private final RandomGenerator random;
    private final VirtualNet net;
    private final FakeLog log;
    private final Effects effects = new Effects();
    private final CoreSettings settings;
    private final List<LabServer> servers = new ArrayList<>();
    private final Map<Endpoint, Location> places = new LinkedHashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final boolean naive;
    private long incarnations = 1;

    private Lab(long seed, CoreSettings settings, boolean naive) {
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.settings = settings;
        this.naive = naive;
        this.net = new VirtualNet(world, random, this::latency);
        this.log = new FakeLog(world, random);
    }

    /** Creates a lab without servers; a naive one has upstreams that queue without a bound. */
    static Lab create(long seed, CoreSettings settings, boolean naive) {
        return new Lab(seed, settings, naive);
    }

    void add(ServiceSpec spec, List<Location> over) {
        for (int i = 0; i < spec.servers(); i++) {
            Endpoint endpoint = new Endpoint("10.0.0." + servers.size(), PORT);
            Location place = over.get(servers.size() % over.size());
            LabServer server = new LabServer(spec.name() + "-" + (i + 1), spec, endpoint, place);
            places.put(endpoint, place);
            servers.add(server);
        }
    }

    void startAll() {
        servers.forEach(this::start);
    }

    /** Starts a server's processes with nothing kept. */
    void start(LabServer server) {
        FakeUpstream upstream = new FakeUpstream(server.spec(), new NodeTimers(world), random, effects);
        if (naive) {
            upstream.naive();
        }
        startNode(server, upstream, MILLI);
    }

    /**
     * Starts a server's node with nothing kept, beside the upstream that went on meanwhile or a new one in its place.
     */
    void restartNode(LabServer server, long announcedAfterNanos) {
        FakeUpstream old = server.upstream();
        boolean gone = old.killed();
        FakeUpstream upstream = gone ? new FakeUpstream(server.spec(), new NodeTimers(world), random, effects) : old;
        startNode(server, upstream, announcedAfterNanos);
    }

    private void startNode(LabServer server, FakeUpstream upstream, long announcedAfterNanos) {
        NodeTimers nodeProcess = new NodeTimers(world);
        Endpoint endpoint = server.endpoint();
        MemberRecord self = new MemberRecord(
                server.id(),
                incarnations++,
                0,
                MemberState.ALIVE,
                endpoint,
                endpoint,
                server.place(),
                "",
                world.wallMillis(),
                0);
        LabNode node = LabNode.start(self, nodeProcess, net, log.seenBy(nodeProcess), random, settings, breaches::add);
        upstream.beside(node);
        server.run(node, upstream, world.nanos());
        nodeProcess.after(
                announcedAfterNanos, () -> node.core().attachUpstream(server.spec().name(), upstream));
    }

    /** Kills a server's node and upstream. */
    void kill(LabServer server) {
        crashNode(server);
        server.upstream().kill();
    }

    /** Kills a server's node; its upstream goes on. */
    void crashNode(LabServer server) {
        server.node().process().kill();
        net.drop(server.endpoint());
        server.upstream().nodeLost();
    }

    /** Starts an upstream in place of a killed one beside a node that went on. */
    void replaceUpstream(LabServer server) {
        FakeUpstream upstream = new FakeUpstream(server.spec(), new NodeTimers(world), random, effects);
        upstream.beside(server.node());
        server.run(server.node(), upstream, world.nanos());
        server.node()
                .process()
                .run(() -> server.node().core().attachUpstream(server.spec().name(), upstream));
    }

    void advance(long nanos) {
        world.advance(nanos);
    }

    VirtualTimerService world() {
        return world;
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

    Location place(Endpoint endpoint) {
        return places.get(endpoint);
    }

    private long latency(Endpoint from, Endpoint to) {
        boolean near = places.get(from).equals(places.get(to));
        long base = near ? NEAR_NANOS : FAR_NANOS;
        return base + random.nextLong(base / 2);
    }
}
