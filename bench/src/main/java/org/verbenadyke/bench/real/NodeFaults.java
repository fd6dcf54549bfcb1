package org.verbenadyke.bench.real;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.verbenadyke.standins.platform.StoreFault;
import org.verbenadyke.standins.platform.StoreStandIn;

/**
 * Random faults of node processes and of their paths to the store.
 */
final class NodeFaults {
    static final int MAX_KILLS = 3;

    private static final int MAX_KILL_GAP_MILLIS = 1_500;
    private static final int MIN_FAULT_MILLIS = 300;
    private static final int MAX_FAULT_MILLIS = 4_000;

    private final List<NodeProcess> nodes;
    private final StoreStandIn store;
    private final Random random;
    private final Consumer<NodeProcess> excuse;
    private final Consumer<String> failures;
    private final AtomicInteger storeFaults = new AtomicInteger();
    private volatile long storeFaultNanos = System.nanoTime();
    private int injected;

    private NodeFaults(
            List<NodeProcess> nodes,
            StoreStandIn store,
            Random random,
            Consumer<NodeProcess> excuse,
            Consumer<String> failures) {
        this.nodes = nodes;
        this.store = store;
        this.random = random;
        this.excuse = excuse;
        this.failures = failures;
    }

    /**
     * Creates the faults of some nodes.
     *
     * @param nodes the nodes
     * @param store their store
     * @param random draws the faults
     * @param excuse called with each node that is killed or was frozen
     * @param failures receives what went wrong with a fault itself
     * @return the faults
     */
    static NodeFaults of(
            List<NodeProcess> nodes,
            StoreStandIn store,
            Random random,
            Consumer<NodeProcess> excuse,
            Consumer<String> failures) {
        return new NodeFaults(nodes, store, random, excuse, failures);
    }

    /** Returns whether no node has lost the store for some time, in nanoseconds. */
    boolean storeCalmFor(long nanos) {
        return storeFaults.get() == 0 && System.nanoTime() - storeFaultNanos >= nanos;
    }

    /** Returns how many faults were injected. */
    int injected() {
        return injected;
    }

    /** Begins a fault of some nodes, and returns the thread that ends it. */
    Thread inject() {
        injected++;
        Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
        int millis = MIN_FAULT_MILLIS + random.nextInt(MAX_FAULT_MILLIS - MIN_FAULT_MILLIS);
        int kills = 1 + random.nextInt(MAX_KILLS);
        NodeProcess node = nodes.get(random.nextInt(nodes.size()));
        return Thread.startVirtualThread(() -> {
            try {
                switch (fault) {
                    case KILLED -> killInSeries(node, kills);
                    case ALL_KILLED -> killAll();
                    case STOPPED -> freeze(node, millis);
                    case STORE_SILENT -> loseStore(List.of(node), StoreFault.SILENT, millis);
                    case STORE_AWAY -> loseStore(nodes, StoreFault.REFUSES, millis);
                    default -> throw new IllegalStateException(fault.name());
                }
            } catch (IOException e) {
                failures.accept("a fault failed: " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Kills a process one or several times and starts it again each time. */
    void killInSeries(NodeProcess node, int kills) throws IOException, InterruptedException {
        synchronized (node) {
            node.disturb(true);
            for (int i = 0; i < kills; i++) {
                excuse.accept(node);
                node.restart();
                Thread.sleep(MAX_KILL_GAP_MILLIS * i / MAX_KILLS);
            }
            node.client().awaitReady();
            node.disturb(false);
        }
    }

    private void killAll() throws InterruptedException {
        List<Thread> kills = nodes.stream()
                .map(n -> Thread.startVirtualThread(() -> {
                    try {
                        killInSeries(n, 1);
                    } catch (IOException e) {
                        failures.accept("a kill failed: " + e);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }))
                .toList();
        for (Thread t : kills) {
            t.join();
        }
    }

    private void freeze(NodeProcess node, int millis) throws IOException, InterruptedException {
        synchronized (node) {
            node.disturb(true);
            node.signal("-STOP");
            Thread.sleep(millis);
            excuse.accept(node);
            node.signal("-CONT");
            node.disturb(false);
        }
    }

    private void loseStore(List<NodeProcess> hit, StoreFault fault, int millis) throws InterruptedException {
        storeFaults.incrementAndGet();
        hit.forEach(n -> n.storeFault(fault));
        Thread.sleep(millis);
        hit.forEach(n -> n.storeFault(StoreFault.NONE));
        storeFaultNanos = System.nanoTime();
        storeFaults.decrementAndGet();
    }

    /**
     * What happens to nodes.
     */
    private enum Fault {
        /** One process is killed, once or in series, and starts again. */
        KILLED,
        /** All processes are killed at the same moment, and start again. */
        ALL_KILLED,
        /** One process is stopped, and continues later. */
        STOPPED,
        /** The store no longer answers one node. */
        STORE_SILENT,
        /** The store refuses all calls. */
        STORE_AWAY
    }
}
