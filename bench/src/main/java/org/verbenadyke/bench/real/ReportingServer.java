package org.verbenadyke.bench.real;

import java.io.IOException;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.standins.platform.Documents;
import org.verbenadyke.standins.platform.NodePorts;
import org.verbenadyke.standins.platform.ServerStandIn;

/**
 * One start of a server that reports to its node until it leaves, and the times from which its leaving binds.
 */
final class ReportingServer implements AutoCloseable {
    static final String SERVICE = "records";

    private static final long HEARTBEAT_MILLIS = 500;
    private static final long RETRY_MILLIS = 100;

    /** How long a server waits for the acknowledgement of its leaving before it leaves without one. */
    private static final long MAX_ACKNOWLEDGE_MILLIS = 4_000;

    private static final int OK = 200;

    private final String id;
    private final Endpoint address = NodePorts.freeEndpoint();
    private final NodeProcess node;
    private final ServerStandIn server;
    private final AtomicInteger sequence = new AtomicInteger();
    private final Map<String, Long> passedOnNanos = new ConcurrentHashMap<>();
    private volatile boolean reporting = true;
    private volatile boolean leaving;
    private volatile long acceptedNanos;
    private volatile long acknowledgedNanos;
    private volatile long arrivedNanos = System.nanoTime();

    private ReportingServer(String id, NodeProcess node, EventLoops loops) {
        this.id = id;
        this.node = node;
        this.server = ServerStandIn.listen(
                id, address, loops, EventLoopTimerService.on(loops.group().next()));
    }

    /** Starts a server, and its reports. */
    static ReportingServer start(String id, NodeProcess node, EventLoops loops, ArrivalListener listener) {
        ReportingServer started = new ReportingServer(id, node, loops);
        started.server.onArrival(request -> {
            started.arrivedNanos = System.nanoTime();
            listener.arrived(started, request);
        });
        Thread.startVirtualThread(started::reportAgainAndAgain);
        return started;
    }

    /** Returns a report of this moment that is to be delivered later, by {@link #deliver}. */
    String draftReport() {
        return report("ready");
    }

    /** Delivers a report that was delayed, as soon as the node accepts reports. */
    void deliver(String report) throws InterruptedException {
        while (!put(report)) {
            Thread.sleep(RETRY_MILLIS);
        }
    }

    /** Announces in a report that the server leaves. */
    void drain() throws InterruptedException {
        reporting = false;
        leaving = true;
        acknowledge(() -> node.client().report(id, report("draining")) == OK);
    }

    /** Deregisters the server, with or without the time of its start. */
    void deregister(boolean namesStart) throws InterruptedException {
        reporting = false;
        leaving = true;
        acknowledge(() -> (namesStart
                        ? node.client().deregister(id, server.startedMillis())
                        : node.client().deregister(id))
                == OK);
    }

    /** States in all answers from now on that the server leaves. */
    void nameLeaving() {
        reporting = false;
        leaving = true;
        server.nameLeaving();
    }

    /** Notes that a node passed on an answer that states that the server leaves. */
    void passedOn(String nodeId) {
        passedOnNanos.putIfAbsent(nodeId, System.nanoTime());
    }

    /** Forgets what a node passed on: a restart or a freeze of the node excuses it. */
    void excuse(String nodeId) {
        passedOnNanos.remove(nodeId);
    }

    /** Returns the time from which the leaving binds requests of a node, in nanoseconds, empty before it does. */
    OptionalLong boundNanos(String nodeId) {
        long acknowledged = acknowledgedNanos;
        if (acknowledged != 0) {
            return OptionalLong.of(acknowledged);
        }
        Long passedOn = passedOnNanos.get(nodeId);
        return passedOn == null ? OptionalLong.empty() : OptionalLong.of(passedOn);
    }

    /** Returns for how long the server has been ready and reported without getting a request, in nanoseconds. */
    long idleNanos() {
        if (leaving || acceptedNanos == 0) {
            return 0;
        }
        return System.nanoTime() - Math.max(acceptedNanos, arrivedNanos);
    }

    NodeProcess node() {
        return node;
    }

    String id() {
        return id;
    }

    @Override
    public void close() {
        reporting = false;
        leaving = true;
        server.close();
    }

    private void reportAgainAndAgain() {
        try {
            while (reporting) {
                boolean accepted = put(report("ready"));
                if (accepted && acceptedNanos == 0) {
                    acceptedNanos = System.nanoTime();
                }
                Thread.sleep(accepted ? HEARTBEAT_MILLIS : RETRY_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String report(String state) {
        return Documents.report(SERVICE, address, state, sequence.incrementAndGet(), server.startedMillis());
    }

    private boolean put(String report) {
        try {
            return node.client().report(id, report) == OK;
        } catch (IOException e) {
            // The node is being killed or started; the report is sent again.
            return false;
        }
    }

    private void acknowledge(Announcement announcement) throws InterruptedException {
        long until = System.nanoTime() + MAX_ACKNOWLEDGE_MILLIS * 1_000_000L;
        while (System.nanoTime() < until) {
            try {
                if (announcement.send()) {
                    acknowledgedNanos = System.nanoTime();
                    return;
                }
            } catch (IOException e) {
                // The node is being killed or started; the announcement is sent again.
            }
            Thread.sleep(RETRY_MILLIS);
        }
    }

    /** Handles the requests that reach a server. */
    interface ArrivalListener {
        /** Called when a server begins to run a request. */
        void arrived(ReportingServer server, String requestId);
    }

    /** Announces the leaving of a server to its node. */
    private interface Announcement {
        /** Returns whether the node acknowledged it. */
        boolean send() throws IOException;
    }
}
