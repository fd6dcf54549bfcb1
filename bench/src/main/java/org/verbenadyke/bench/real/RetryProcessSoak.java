package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

import org.verbenadyke.bench.retry.RepetitionCounts;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.standins.platform.StoreStandIn;

/**
 * A randomised run of real nodes with a chain that multiplies requests: the servers of the first service call the
 * second one four times a run. Servers fail, lose and reject runs for a while, at one service or both, while nodes are
 * killed once, in series and together, frozen, and lose the store. Counts at the servers, in each window, the
 * repetitions that reach a service, and compares them with the requests of callers for it.
 */
public final class RetryProcessSoak {
    static final String HOST = "chain.example";

    private static final String FIRST = "first";
    private static final String LAST = "last";
    private static final List<String> SERVICES = List.of(FIRST, LAST);
    private static final int NODES_PER_SERVICE = 3;
    private static final int CALLS = 4;
    private static final int DATA_CENTRES = 3;
    private static final String HEARTBEAT = "1500ms";
    private static final RepetitionCounts.Allowance ALLOWED = new RepetitionCounts.Allowance(0.2, 10_000_000_000L, 47);
    private static final int CALLERS_PER_NODE = 4;

    /** The pause of a caller: 24 callers send about 160 requests a second. */
    private static final long CALLER_PAUSE_MILLIS = 120;

    private static final int LAST_SERVICE_ONE_IN = 8;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final long CALM_MILLIS = 5_000;
    private static final int MIN_GAP_MILLIS = 300;
    private static final int MAX_GAP_MILLIS = 3_000;
    private static final double MAX_FAULT_SHARE = 0.4;
    private static final int OK = 200;

    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<ChainServer> servers = new ArrayList<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final RepetitionCounts counts = RepetitionCounts.empty();
    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong answered = new AtomicLong();
    private final Random random;
    private final StoreStandIn store;
    private final EventLoops loops;
    private volatile boolean running = true;
    private volatile ServerFault fault = new ServerFault("", ChainServer.Outcome.ANSWERED, 0);

    private RetryProcessSoak(StoreStandIn store, EventLoops loops, long seed) {
        this.store = store;
        this.loops = loops;
        this.random = new Random(seed);
    }

    /**
     * Starts the nodes and servers, applies faults and checks.
     *
     * @param home the root folder of the project
     * @param seed the random seed of the faults
     * @param seconds how long they last
     * @return a description of each violation
     * @throws Exception when the processes can't be started
     */
    public static List<String> run(Path home, long seed, int seconds) throws Exception {
        try (SoakSurroundings around = SoakSurroundings.start("retry-soak", configuration())) {
            RetryProcessSoak soak = new RetryProcessSoak(around.store(), around.loops(), seed);
            try {
                soak.start(home, around.folder());
                soak.load(seconds);
            } finally {
                soak.stop();
            }
            SERVICES.forEach(soak::check);
            System.out.println("soak: seed " + seed + ", " + soak.nodes.size() + " nodes, " + soak.requests
                    + " requests, " + soak.answered + " answered, " + soak.violations.size() + " violations; logs in "
                    + around.folder());
            return List.copyOf(soak.violations);
        }
    }

    private void stop() throws InterruptedException {
        running = false;
        for (NodeProcess n : nodes) {
            n.close();
        }
        servers.forEach(ChainServer::close);
    }

    private static String configuration() {
        return """
                {"version":"00000001","routes":[\
                {"name":"first","host":"%1$s","path-prefix":"/first/","kind":"idempotent","timeout":"1500ms",\
                "target-latency":"500ms","priority":1,"service":"first","max-attempts":3},\
                {"name":"last","host":"%1$s","path-prefix":"/last/","kind":"idempotent","timeout":"1500ms",\
                "target-latency":"500ms","priority":1,"service":"last","max-attempts":3}],\
                "services":[{"name":"first","health-path":"/health","max-connections":200},\
                {"name":"last","health-path":"/health","max-connections":200}],\
                "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3s",\
                "idle-timeout":"15s"}}""".formatted(HOST);
    }

    private void start(Path home, Path folder) throws IOException {
        for (String service : SERVICES) {
            for (int i = 0; i < NODES_PER_SERVICE; i++) {
                NodeProcess node = NodeProcess.create(
                        service + "-" + i, "dc-" + i % DATA_CENTRES, home, folder, store, service, HEARTBEAT);
                nodes.add(node);
                node.start();
                List<String> called = service.equals(FIRST) ? Collections.nCopies(CALLS, path(LAST)) : List.of();
                servers.add(ChainServer.start(service, node, called, counts, this::outcome, loops));
            }
        }
        for (NodeProcess node : nodes) {
            if (!node.client().awaitReady()) {
                throw new IllegalStateException(node.id() + " did not become ready; see " + folder);
            }
        }
    }

    private ChainServer.Outcome outcome(String service) {
        ServerFault now = fault;
        boolean hit = (now.service().isEmpty() || now.service().equals(service))
                && ThreadLocalRandom.current().nextDouble() < now.share();
        return hit ? now.outcome() : ChainServer.Outcome.ANSWERED;
    }

    private void load(int seconds) throws InterruptedException {
        List<Thread> callers = new ArrayList<>();
        for (NodeProcess node : nodes) {
            for (int i = 0; i < CALLERS_PER_NODE; i++) {
                callers.add(Thread.startVirtualThread(() -> sendAgainAndAgain(node)));
            }
        }
        Thread.sleep(CALM_MILLIS);
        NodeFaults nodeFaults = NodeFaults.of(nodes, store, random, node -> {}, violations::add);
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        List<Thread> steps = new ArrayList<>();
        while (System.nanoTime() < end) {
            if (random.nextBoolean()) {
                fault = ServerFault.draw(random);
                System.out.println("servers: " + fault);
            } else {
                steps.add(nodeFaults.inject());
            }
            Thread.sleep(MIN_GAP_MILLIS + random.nextInt(MAX_GAP_MILLIS - MIN_GAP_MILLIS));
        }
        for (Thread t : steps) {
            t.join();
        }
        running = false;
        for (Thread t : callers) {
            t.join();
        }
    }

    private void sendAgainAndAgain(NodeProcess node) {
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
        String id = node.id() + "-" + requests.incrementAndGet();
        String service = ThreadLocalRandom.current().nextInt(LAST_SERVICE_ONE_IN) == 0 ? LAST : FIRST;
        counts.requested(service, System.nanoTime());
        try {
            if (node.client()
                            .send("GET", HOST, path(service), id, DEADLINE_MILLIS)
                            .statusCode()
                    == OK) {
                answered.incrementAndGet();
            }
        } catch (IOException e) {
            // The node is being killed or started; the caller goes on with its next request.
            return;
        }
    }

    private static String path(String service) {
        return "/" + service + "/x";
    }

    private void check(String service) {
        Optional<RepetitionCounts.Window> worst = counts.worst(service, ALLOWED);
        worst.ifPresent(w -> System.out.println(service + ": " + w));
        worst.filter(w -> w.excess() > 0)
                .ifPresent(w -> violations.add(service + " got " + w.repetitions() + " repetitions in a window, "
                        + w.allowed() + " are allowed"));
    }

    /**
     * What the servers do.
     *
     * @param service the service, empty for all
     * @param outcome what becomes of the runs that are hit
     * @param share the share of runs that is hit
     */
    private record ServerFault(String service, ChainServer.Outcome outcome, double share) {
        static ServerFault draw(Random random) {
            List<String> hit = List.of("", FIRST, LAST, LAST);
            ChainServer.Outcome[] outcomes = ChainServer.Outcome.values();
            return new ServerFault(
                    hit.get(random.nextInt(hit.size())),
                    outcomes[random.nextInt(outcomes.length)],
                    random.nextDouble() * MAX_FAULT_SHARE);
        }
    }
}
