package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.standins.platform.NodePorts;
import org.verbenadyke.standins.platform.StoreFault;
import org.verbenadyke.standins.platform.StoreStandIn;

/**
 * A randomised run of real nodes on the platform while the configuration changes: nodes lose the store in silence, are
 * refused by it, are stopped and continued, killed and started again, in series and overlapping. Checks by requests
 * that each node without a fault serves each version in time.
 */
public final class ConfigurationProcessSoak {
    private static final int NODES = 12;
    private static final int DATA_CENTRES = 3;

    /** The default bound of a node's settings. */
    private static final long BOUND_MILLIS = 2_000;

    private static final long STABILITY_NANOS = 3_000_000_000L;
    private static final int MAX_CHANGE_GAP_MILLIS = 1_500;
    private static final int MAX_FAULT_GAP_MILLIS = 7_000;
    private static final int MIN_FAULT_MILLIS = 500;
    private static final int MAX_FAULT_MILLIS = 9_000;

    /** The kinds of fault to draw from; the one that hits all followers is drawn more often. */
    private static final Fault[] FAULTS = {
        Fault.FOLLOWERS_SILENCED,
        Fault.FOLLOWERS_SILENCED,
        Fault.SILENCED,
        Fault.REFUSED,
        Fault.STOPPED,
        Fault.RESTARTED
    };

    /** The shares of the nodes that the other kinds hit. */
    private static final double[] SHARES = {0.25, 0.5, 0.8};

    private static final long PROBE_PAUSE_MILLIS = 100;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final List<PlatformProcess> nodes = new ArrayList<>();
    private final Map<Integer, Long> acknowledged = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicLong longestMillis = new AtomicLong();
    private final Random random;
    private final StoreStandIn store;
    private volatile int version;
    private volatile boolean running = true;
    private int faults;
    private final AtomicLong probes = new AtomicLong();

    private ConfigurationProcessSoak(StoreStandIn store, long seed) {
        this.store = store;
        this.random = new Random(seed);
    }

    /**
     * Starts the nodes, changes the configuration, applies faults and checks.
     *
     * @param home the root folder of the project
     * @param seed the random seed of the changes and faults
     * @param seconds how long changes and faults last
     * @return a description of each violation
     * @throws Exception when the processes can't be started
     */
    public static List<String> run(Path home, long seed, int seconds) throws Exception {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        EventLoops loops = EventLoops.nio(2);
        Path folder = Files.createTempDirectory("configuration-soak");
        StoreStandIn store = StoreStandIn.listen(
                NodePorts.freeEndpoint(),
                loops,
                EventLoopTimerService.on(loops.group().next()));
        ConfigurationProcessSoak soak = new ConfigurationProcessSoak(store, seed);
        soak.change();
        try {
            for (int i = 0; i < NODES; i++) {
                PlatformProcess node = new PlatformProcess(i, "dc-" + i % DATA_CENTRES, home, folder, store, loops);
                soak.nodes.add(node);
                node.node().start();
            }
            for (PlatformProcess n : soak.nodes) {
                if (!n.awaitReady()) {
                    throw new IllegalStateException(n.node().id() + " did not become ready; see " + folder);
                }
                n.node().disturb(false);
            }
            soak.load(seconds);
        } finally {
            for (PlatformProcess n : soak.nodes) {
                n.close();
            }
            store.close();
            loops.group().shutdownGracefully();
        }
        System.out.println("soak: seed " + seed + ", " + NODES + " nodes, " + soak.version + " changes, " + soak.faults
                + " faults, " + soak.probes + " requests, longest " + soak.longestMillis + " ms, "
                + soak.violations.size() + " violations; logs in " + folder);
        return List.copyOf(soak.violations);
    }

    private void load(int seconds) throws InterruptedException {
        List<Thread> checks = nodes.stream()
                .map(n -> Thread.startVirtualThread(() -> checkAgainAndAgain(n)))
                .toList();
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        long nextChange = System.nanoTime() + STABILITY_NANOS;
        long nextFault = nextChange;
        List<Thread> ending = new ArrayList<>();
        while (System.nanoTime() < end) {
            if (System.nanoTime() >= nextChange) {
                change();
                nextChange = System.nanoTime() + random.nextInt(MAX_CHANGE_GAP_MILLIS) * 1_000_000L;
            }
            if (System.nanoTime() >= nextFault) {
                ending.add(injectFault());
                nextFault = System.nanoTime() + random.nextInt(MAX_FAULT_GAP_MILLIS) * 1_000_000L;
            }
            Thread.sleep(10);
        }
        for (Thread t : ending) {
            t.join();
        }
        Thread.sleep(2 * STABILITY_NANOS / 1_000_000L);
        running = false;
        for (Thread t : checks) {
            t.join();
        }
    }

    private void change() {
        int next = version + 1;
        store.write(StoreStandIn.OPERATORS, StoreStandIn.CONFIGURATION, PlatformProcess.configuration(next));
        acknowledged.put(next, System.nanoTime());
        version = next;
    }

    /** Begins a fault on some nodes without one, and returns the thread that ends it. */
    private Thread injectFault() {
        faults++;
        Fault kind = FAULTS[random.nextInt(FAULTS.length)];
        double share = SHARES[random.nextInt(SHARES.length)];
        long millis = MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS - MIN_FAULT_MILLIS);
        List<PlatformProcess> hit = nodes.stream()
                .filter(n -> !n.node().disturbed()
                        && (kind == Fault.FOLLOWERS_SILENCED ? n.node().follows() : random.nextDouble() < share))
                .toList();
        hit.forEach(n -> n.node().disturb(true));
        return Thread.startVirtualThread(() -> {
            try {
                for (PlatformProcess n : hit) {
                    begin(n, kind);
                }
                Thread.sleep(millis);
                for (PlatformProcess n : hit) {
                    end(n, kind);
                }
            } catch (IOException e) {
                violations.add("a fault failed: " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private static void begin(PlatformProcess node, Fault kind) throws IOException, InterruptedException {
        switch (kind) {
            case FOLLOWERS_SILENCED, SILENCED -> node.node().storeFault(StoreFault.SILENT);
            case REFUSED -> node.node().storeFault(StoreFault.REFUSES);
            case STOPPED -> node.node().signal("-STOP");
            case RESTARTED -> node.node().restart();
            default -> throw new IllegalStateException(kind.name());
        }
    }

    private static void end(PlatformProcess node, Fault kind) throws IOException, InterruptedException {
        switch (kind) {
            case FOLLOWERS_SILENCED, SILENCED, REFUSED -> node.node().storeFault(StoreFault.NONE);
            case STOPPED -> node.node().signal("-CONT");
            case RESTARTED -> node.awaitReady();
            default -> throw new IllegalStateException(kind.name());
        }
        node.node().disturb(false);
    }

    private void checkAgainAndAgain(PlatformProcess node) {
        try {
            while (running) {
                check(node);
                Thread.sleep(PROBE_PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request on the newest route; counts only if the node was calm from before it until after it. */
    private void check(PlatformProcess node) {
        int asked = version;
        if (!node.node().calmFor(STABILITY_NANOS)) {
            return;
        }
        long ageMillis = (System.nanoTime() - acknowledged.get(asked)) / 1_000_000L;
        int status = node.probe(asked);
        probes.incrementAndGet();
        if (status == OK || version != asked || !node.node().calmFor(STABILITY_NANOS)) {
            return;
        }
        longestMillis.accumulateAndGet(ageMillis, Math::max);
        if (ageMillis > BOUND_MILLIS) {
            violations.add(node.node().id() + " answered " + status + (status == NOT_FOUND ? " for good" : "")
                    + " on version " + asked + ", acknowledged " + ageMillis + " ms before");
        }
    }

    /**
     * What happens to a node.
     */
    private enum Fault {
        /** The store no longer answers any of the nodes that follow it. */
        FOLLOWERS_SILENCED,
        /** The store no longer answers. */
        SILENCED,
        /** The store refuses calls. */
        REFUSED,
        /** The process is stopped, and continues later. */
        STOPPED,
        /** The process is killed and starts again. */
        RESTARTED
    }
}
