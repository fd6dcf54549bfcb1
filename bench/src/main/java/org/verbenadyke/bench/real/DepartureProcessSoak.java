package org.verbenadyke.bench.real;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.standins.platform.Documents;
import org.verbenadyke.standins.platform.StoreStandIn;

/**
 * A randomised run of real nodes whose servers are replaced in all the ways in which servers leave, while nodes are
 * killed once and in series, frozen, all killed together, and lose the store, and while reports arrive seconds late,
 * also at a later start of the node. Counts at the servers which requests arrive after the leaving binds, and whether
 * sound servers get work.
 */
public final class DepartureProcessSoak {
    private static final int NODES = 8;
    private static final int DATA_CENTRES = 3;

    /** The servers that stay while the others leave. */
    private static final int MIN_SERVERS = 3;

    private static final String HEARTBEAT = "1500ms";
    private static final long DRAIN_NANOS = 2_000_000_000L;
    private static final long STABILITY_NANOS = 3_000_000_000L;

    /** How long a sound server beside a calm node may go without a request; thousands are sent in that time. */
    private static final long MAX_IDLE_NANOS = 3_000_000_000L;

    private static final int CALLERS_PER_NODE = 3;
    private static final long CALLER_PAUSE_MILLIS = 15;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final int MIN_GAP_MILLIS = 300;
    private static final int MAX_GAP_MILLIS = 2_500;
    private static final int FAULT_ONE_IN = 5;
    private static final int MAX_REPORT_DELAY_MILLIS = 8_000;
    private static final int MIN_LINGER_MILLIS = 2_500;
    private static final int MAX_LINGER_MILLIS = 9_000;
    private static final int MAX_KILL_DELAY_MILLIS = 1_500;
    private static final double KILL_SHARE = 0.6;
    private static final double DELAYED_REPORT_SHARE = 0.7;
    private static final double SAME_ID_SHARE = 0.3;
    private static final int OK = 200;

    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<ReportingServer> servers = new CopyOnWriteArrayList<>();
    private final List<ReportingServer> leaving = new CopyOnWriteArrayList<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong lateOutOfTouch = new AtomicLong();
    private final Random random;
    private final StoreStandIn store;
    private final EventLoops loops;
    private final NodeFaults faults;
    private volatile boolean running = true;
    private int departures;

    private DepartureProcessSoak(StoreStandIn store, EventLoops loops, long seed) {
        this.store = store;
        this.loops = loops;
        this.random = new Random(seed);
        this.faults =
                NodeFaults.of(nodes, store, random, node -> leaving.forEach(s -> s.excuse(node.id())), violations::add);
    }

    /**
     * Starts the nodes, replaces servers, applies faults and checks.
     *
     * @param home the root folder of the project
     * @param seed the random seed of the departures and faults
     * @param seconds how long they last
     * @return a description of each violation
     * @throws Exception when the processes can't be started
     */
    public static List<String> run(Path home, long seed, int seconds) throws Exception {
        try (SoakSurroundings around = SoakSurroundings.start("departure-soak", configuration())) {
            DepartureProcessSoak soak = new DepartureProcessSoak(around.store(), around.loops(), seed);
            try {
                soak.start(home, around.folder());
                soak.load(seconds);
            } finally {
                soak.stop();
            }
            System.out.println("soak: seed " + seed + ", " + NODES + " nodes, " + soak.departures + " departures, "
                    + soak.faults.injected() + " faults, " + soak.requests + " requests, " + soak.answered
                    + " answered, " + soak.lateOutOfTouch + " late out of touch, " + soak.violations.size()
                    + " violations; logs in " + around.folder());
            return List.copyOf(soak.violations);
        }
    }

    private void stop() throws InterruptedException {
        running = false;
        for (NodeProcess n : nodes) {
            n.close();
        }
        servers.forEach(ReportingServer::close);
        leaving.forEach(ReportingServer::close);
    }

    private static String configuration() {
        return Documents.configuration(1, ReportingServer.SERVICE);
    }

    private void start(Path home, Path folder) throws IOException {
        for (int i = 0; i < NODES; i++) {
            NodeProcess node = NodeProcess.create(
                    "node-" + i, "dc-" + i % DATA_CENTRES, home, folder, store, ReportingServer.SERVICE, HEARTBEAT);
            nodes.add(node);
            node.start();
        }
        for (NodeProcess node : nodes) {
            if (!node.client().awaitReady()) {
                throw new IllegalStateException(node.id() + " did not become ready; see " + folder);
            }
            node.disturb(false);
            servers.add(ReportingServer.start(node.id() + "-server-0", node, loops, this::checkArrival));
        }
    }

    private void load(int seconds) throws InterruptedException {
        List<Thread> callers = new ArrayList<>();
        for (NodeProcess node : nodes) {
            for (int i = 0; i < CALLERS_PER_NODE; i++) {
                callers.add(Thread.startVirtualThread(() -> call(node)));
            }
        }
        callers.add(Thread.startVirtualThread(this::checkIdle));
        Thread.sleep(STABILITY_NANOS / 1_000_000L);
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        List<Thread> steps = new ArrayList<>();
        while (System.nanoTime() < end) {
            if (random.nextInt(FAULT_ONE_IN) == 0) {
                steps.add(faults.inject());
            } else if (servers.size() > MIN_SERVERS) {
                steps.add(replaceServer());
            }
            Thread.sleep(MIN_GAP_MILLIS + random.nextInt(MAX_GAP_MILLIS - MIN_GAP_MILLIS));
        }
        for (Thread t : steps) {
            t.join();
        }
        Thread.sleep(2 * STABILITY_NANOS / 1_000_000L);
        running = false;
        for (Thread t : callers) {
            t.join();
        }
    }

    /** Lets one server leave and replaces it; its node may be killed meanwhile, and a report may arrive late. */
    private Thread replaceServer() {
        departures++;
        ReportingServer server = servers.get(random.nextInt(servers.size()));
        Way way = Way.values()[random.nextInt(Way.values().length)];
        int lingerMillis = MIN_LINGER_MILLIS + random.nextInt(MAX_LINGER_MILLIS - MIN_LINGER_MILLIS);
        int kills = random.nextDouble() < KILL_SHARE ? 1 + random.nextInt(NodeFaults.MAX_KILLS) : 0;
        int killDelayMillis = random.nextInt(MAX_KILL_DELAY_MILLIS);
        boolean delaysReport = random.nextDouble() < DELAYED_REPORT_SHARE;
        int reportDelayMillis = random.nextInt(MAX_REPORT_DELAY_MILLIS);
        String nextId = random.nextDouble() < SAME_ID_SHARE
                ? server.id()
                : server.node().id() + "-server-" + departures;
        servers.remove(server);
        leaving.add(server);
        return Thread.startVirtualThread(() -> {
            try {
                String report = server.draftReport();
                leave(server, way);
                Thread late = delaysReport ? deliverLater(server, report, reportDelayMillis) : null;
                if (kills > 0) {
                    Thread.sleep(killDelayMillis);
                    faults.killInSeries(server.node(), kills);
                }
                Thread.sleep(lingerMillis);
                server.close();
                leaving.remove(server);
                if (late != null) {
                    late.join();
                }
                servers.add(ReportingServer.start(nextId, server.node(), loops, this::checkArrival));
            } catch (IOException e) {
                violations.add("a step failed: " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static void leave(ReportingServer server, Way way) throws InterruptedException {
        switch (way) {
            case DRAINING -> server.drain();
            case DEREGISTERED -> server.deregister(true);
            case DEREGISTERED_BY_ID -> server.deregister(false);
            case NOTICE -> server.nameLeaving();
            default -> throw new IllegalStateException(way.name());
        }
    }

    private static Thread deliverLater(ReportingServer server, String report, int delayMillis) {
        return Thread.startVirtualThread(() -> {
            try {
                Thread.sleep(delayMillis);
                server.deliver(report);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void call(NodeProcess node) {
        try {
            while (running) {
                send(node);
                Thread.sleep(CALLER_PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(NodeProcess node) {
        requests.incrementAndGet();
        String requestId = node.id() + "/" + System.nanoTime();
        try {
            HttpResponse<String> answer =
                    node.client().send("GET", "read.example", "/r/x/fine", requestId, DEADLINE_MILLIS);
            if (answer.statusCode() == OK) {
                answered.incrementAndGet();
                answer.headers()
                        .firstValue("server-leaving")
                        .ifPresent(l -> notePassedOn(
                                answer.headers().firstValue("x-instance-id").orElse(""), node));
            }
        } catch (IOException e) {
            // The node is being killed or started; the checks are made at the servers.
        }
    }

    private void notePassedOn(String serverId, NodeProcess node) {
        leaving.stream().filter(s -> s.id().equals(serverId)).forEach(s -> s.passedOn(node.id()));
    }

    private void checkArrival(ReportingServer server, String requestId) {
        String[] origin = requestId.split("/");
        OptionalLong bound = server.boundNanos(origin[0]);
        if (bound.isEmpty()) {
            return;
        }
        long lateNanos = System.nanoTime() - bound.getAsLong() - DRAIN_NANOS;
        if (lateNanos <= 0) {
            return;
        }
        boolean inTouch = server.node().calmFor(STABILITY_NANOS)
                && nodes.stream().filter(n -> n.id().equals(origin[0])).allMatch(n -> n.calmFor(STABILITY_NANOS));
        if (inTouch) {
            violations.add(requestId + " reached " + server.id() + " " + lateNanos / 1_000_000L
                    + " ms later than it may after its leaving");
        } else {
            lateOutOfTouch.incrementAndGet();
        }
    }

    private void checkIdle() {
        try {
            while (running) {
                for (ReportingServer server : servers) {
                    boolean calm = nodes.stream().allMatch(n -> n.calmFor(STABILITY_NANOS));
                    if (calm && faults.storeCalmFor(STABILITY_NANOS) && server.idleNanos() > MAX_IDLE_NANOS) {
                        violations.add(server.id() + " is sound and gets no requests");
                        return;
                    }
                }
                Thread.sleep(CALLER_PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * How a server leaves.
     */
    private enum Way {
        /** It reports that it is draining. */
        DRAINING,
        /** It deregisters, and names the time of its start. */
        DEREGISTERED,
        /** It deregisters by its id alone. */
        DEREGISTERED_BY_ID,
        /** It states in its answers that it is leaving. */
        NOTICE
    }
}
