package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import org.verbenadyke.standins.platform.CrashingServer;
import org.verbenadyke.standins.platform.Documents;
import org.verbenadyke.standins.platform.StoreStandIn;

/**
 * A randomised run of real nodes beside servers that some requests crash. The seed draws how a crash looks, how patient
 * the callers of the bad requests are, and whether servers reject some of them; nodes are killed once, in series and
 * together, frozen, and lose the store. Counts at the servers how often a request arrives after it has crashed its
 * third one.
 */
public final class CrashProcessSoak {
    private static final String SERVICE = "records";
    private static final String HOST = "read.example";
    private static final String CHAIN_SERVICE = "chained";
    private static final int[] NODES = {3, 6, 12};
    private static final int DATA_CENTRES = 3;
    private static final String HEARTBEAT = "1500ms";
    private static final int CRASHES = 3;
    private static final int ALLOWED_LATE = 3;
    private static final long STABILITY_NANOS = 3_000_000_000L;
    private static final int MAX_BAD_PATHS = 3;
    private static final int MIN_BAD_GAP_MILLIS = 100;
    private static final int MAX_BAD_GAP_MILLIS = 400;
    private static final long HARMLESS_GAP_MILLIS = 14;
    private static final int HARMLESS_PATHS = 1_000;
    private static final long DEADLINE_MILLIS = 1_000;
    private static final int MIN_CRASH_MILLIS = 30;
    private static final int MAX_CRASH_MILLIS = 400;
    private static final int MIN_DOWN_MILLIS = 300;
    private static final int MAX_DOWN_MILLIS = 2_000;
    private static final int MIN_FAULT_GAP_MILLIS = 500;
    private static final int MAX_FAULT_GAP_MILLIS = 4_000;
    private static final int CHAINED_ONE_IN = 4;
    private static final int OK = 200;

    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<CrashingServer> servers = new ArrayList<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Set<String> excused = ConcurrentHashMap.newKeySet();
    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong harmless = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final StoreStandIn store;
    private final Random random;
    private final CrashingServer.Behaviour behaviour;
    private final long patienceMillis;
    private final boolean chained;
    private final boolean nodeFaults;
    private final int nodeCount;
    private volatile boolean running = true;

    private CrashProcessSoak(StoreStandIn store, long seed) {
        this.store = store;
        this.random = new Random(seed);
        CrashingServer.Crash[] crashes = CrashingServer.Crash.values();
        int crashMillis = draw(MIN_CRASH_MILLIS, MAX_CRASH_MILLIS);
        this.behaviour = new CrashingServer.Behaviour(
                crashes[random.nextInt(crashes.length)],
                random.nextBoolean(),
                crashMillis,
                draw(MIN_DOWN_MILLIS, MAX_DOWN_MILLIS));
        this.patienceMillis = random.nextBoolean() ? DEADLINE_MILLIS : draw(crashMillis / 2, crashMillis);
        this.chained = random.nextInt(CHAINED_ONE_IN) == 0;
        // A chained call begins at a node that its id doesn't tell, so that no fault of a node excuses it.
        this.nodeFaults = !chained && random.nextBoolean();
        this.nodeCount = NODES[random.nextInt(NODES.length)];
    }

    /**
     * Starts the nodes and servers, applies faults and checks.
     *
     * @param home the root folder of the project
     * @param seed the random seed
     * @param seconds how long the bad requests come
     * @return a description of each violation
     * @throws Exception when the processes can't be started
     */
    public static List<String> run(Path home, long seed, int seconds) throws Exception {
        try (SoakSurroundings around = SoakSurroundings.start("crash-soak", configuration())) {
            CrashProcessSoak soak = new CrashProcessSoak(around.store(), seed);
            try {
                soak.start(home, around.folder());
                soak.load(seconds);
            } finally {
                soak.stop();
            }
            soak.check();
            System.out.println("soak: seed " + seed + ", " + soak.nodeCount + " nodes, chained " + soak.chained + ", "
                    + soak.behaviour + ", callers wait " + soak.patienceMillis
                    + " ms, faults of nodes " + soak.nodeFaults + ", " + soak.served + " of " + soak.harmless
                    + " harmless requests served, " + soak.violations.size() + " violations; logs in "
                    + around.folder());
            return List.copyOf(soak.violations);
        }
    }

    private static String configuration() {
        String chainedRoute = """
                {"name":"chained","host":"read.example","path-prefix":"/chained/","kind":"idempotent",\
                "timeout":"3000ms","target-latency":"500ms","priority":1,"service":"chained","max-attempts":2},""";
        String chainedService = """
                {"name":"chained","health-path":"/health","max-connections":200},""";
        return Documents.configuration(1, SERVICE)
                .replace("\"routes\":[", "\"routes\":[" + chainedRoute)
                .replace("\"services\":[", "\"services\":[" + chainedService);
    }

    private String service(int node) {
        return chained && node % 2 == 0 ? CHAIN_SERVICE : SERVICE;
    }

    private void start(Path home, Path folder) throws IOException {
        for (int i = 0; i < nodeCount; i++) {
            NodeProcess node = NodeProcess.create(
                    "node-" + i, "dc-" + i % DATA_CENTRES, home, folder, store, service(i), HEARTBEAT);
            nodes.add(node);
            node.start();
        }
        for (NodeProcess node : nodes) {
            if (!node.client().awaitReady()) {
                throw new IllegalStateException(node.id() + " did not become ready; see " + folder);
            }
            servers.add(CrashingServer.start("server-" + node.id(), service(servers.size()), node.client(), behaviour));
        }
    }

    private void stop() throws InterruptedException {
        running = false;
        servers.forEach(CrashingServer::close);
        for (NodeProcess n : nodes) {
            n.close();
        }
    }

    private void load(int seconds) throws InterruptedException {
        List<Thread> callers = new ArrayList<>();
        callers.add(Thread.startVirtualThread(this::sendHarmless));
        int badPaths = 1 + random.nextInt(MAX_BAD_PATHS);
        for (int i = 0; i < badPaths; i++) {
            String path = (chained ? CrashingServer.CHAINED : "/r") + "/" + CrashingServer.BAD + i;
            long seed = random.nextLong();
            callers.add(Thread.startVirtualThread(() -> sendBad(path, new Random(seed))));
        }
        NodeFaults faults = NodeFaults.of(nodes, store, random, node -> {}, violations::add);
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        List<Thread> steps = new ArrayList<>();
        while (System.nanoTime() < end) {
            Thread.sleep(draw(MIN_FAULT_GAP_MILLIS, MAX_FAULT_GAP_MILLIS));
            if (nodeFaults) {
                steps.add(faults.inject());
            }
        }
        for (Thread t : steps) {
            t.join();
        }
        running = false;
        for (Thread t : callers) {
            t.join();
        }
    }

    private void sendHarmless() {
        List<Thread> calls = new ArrayList<>();
        try {
            for (int i = 0; running; i++) {
                NodeProcess node = nodes.get(i % nodeCount);
                int number = i % HARMLESS_PATHS;
                calls.add(Thread.startVirtualThread(() -> {
                    harmless.incrementAndGet();
                    if (get(node, "/r/fine" + number)) {
                        served.incrementAndGet();
                    }
                }));
                Thread.sleep(HARMLESS_GAP_MILLIS);
            }
            for (Thread t : calls) {
                t.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendBad(String path, Random gaps) {
        try {
            while (running) {
                NodeProcess node = nodes.get(gaps.nextInt(nodeCount));
                Thread.startVirtualThread(() -> {
                    if (patienceMillis < DEADLINE_MILLIS) {
                        leave(node, path);
                    } else {
                        get(node, path);
                    }
                });
                Thread.sleep(MIN_BAD_GAP_MILLIS + gaps.nextInt(MAX_BAD_GAP_MILLIS - MIN_BAD_GAP_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String nextId(NodeProcess node) {
        String id = node.id() + "-" + requests.incrementAndGet();
        if (!node.calmFor(STABILITY_NANOS)) {
            excused.add(id);
        }
        return id;
    }

    private boolean get(NodeProcess node, String path) {
        try {
            return node.client()
                            .send("GET", HOST, path, nextId(node), DEADLINE_MILLIS)
                            .statusCode()
                    == OK;
        } catch (IOException e) {
            // The node is being killed or started; the caller goes on with its next request.
            return false;
        }
    }

    private void leave(NodeProcess node, String path) {
        try {
            node.client().sendAndLeave(path, nextId(node), DEADLINE_MILLIS, patienceMillis);
        } catch (IOException e) {
            // The node is being killed or started.
            return;
        }
    }

    private void check() {
        for (int i = 0; i < MAX_BAD_PATHS; i++) {
            String path = "/r/" + CrashingServer.BAD + i;
            List<CrashingServer.BadRequest> crashes = all(path, CrashingServer::crashes);
            List<CrashingServer.BadRequest> arrivals = all(path, CrashingServer::badArrivals);
            if (crashes.size() < CRASHES) {
                continue;
            }
            long bound = crashes.get(CRASHES - 1).nanos() + STABILITY_NANOS;
            List<CrashingServer.BadRequest> late = arrivals.stream()
                    .filter(a -> a.nanos() > bound && !excused.contains(a.id()))
                    .toList();
            System.out.println(path + ": " + arrivals.size() + " arrivals, " + crashes.size() + " crashes, "
                    + late.size()
                    + " arrivals too late: "
                    + late.stream()
                            .map(a -> a.id() + " " + (a.nanos() - bound) / 1_000_000 + " ms")
                            .toList());
            if (late.size() > ALLOWED_LATE) {
                violations.add(path + " arrived " + late.size() + " times too late, " + ALLOWED_LATE + " are allowed");
            }
        }
    }

    private List<CrashingServer.BadRequest> all(
            String path, Function<CrashingServer, List<CrashingServer.BadRequest>> requestsOf) {
        return servers.stream()
                .flatMap(s -> requestsOf.apply(s).stream())
                .filter(r -> r.path().equals(path))
                .sorted(Comparator.comparingLong(CrashingServer.BadRequest::nanos))
                .toList();
    }

    private int draw(int from, int to) {
        return from + random.nextInt(Math.max(1, to - from));
    }
}
