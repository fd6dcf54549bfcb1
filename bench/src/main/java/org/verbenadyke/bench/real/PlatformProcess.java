package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.file.Path;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.standins.platform.Documents;
import org.verbenadyke.standins.platform.NodePorts;
import org.verbenadyke.standins.platform.ServerStandIn;
import org.verbenadyke.standins.platform.StoreStandIn;

/**
 * A node on the platform as a process, beside a stand-in of its server.
 */
final class PlatformProcess implements AutoCloseable {
    static final String SERVICE = "records";

    /** Long enough that the server counts as running throughout a run with a single heartbeat. */
    private static final String HEARTBEAT = "30s";

    private static final long DEADLINE_MILLIS = 1_500;
    private static final int OK = 200;

    private final String serverId;
    private final NodeProcess node;
    private final Endpoint serverAt = NodePorts.freeEndpoint();
    private final ServerStandIn server;
    private int reports;

    PlatformProcess(int number, String dataCentre, Path home, Path folder, StoreStandIn store, EventLoops loops)
            throws IOException {
        this.node = NodeProcess.create("node-" + number, dataCentre, home, folder, store, SERVICE, HEARTBEAT);
        this.serverId = "server-" + number;
        this.server = ServerStandIn.listen(
                serverId,
                serverAt,
                loops,
                EventLoopTimerService.on(loops.group().next()));
    }

    /** Returns the node's process. */
    NodeProcess node() {
        return node;
    }

    /** Waits until the node is ready, and reports its server to it. */
    boolean awaitReady() throws IOException {
        return node.client().awaitReady() && report();
    }

    private boolean report() throws IOException {
        String report = Documents.report(SERVICE, serverAt, "ready", ++reports, server.startedMillis());
        return node.client().report(serverId, report) == OK;
    }

    /** Sends a request on the route of a version, and returns the status of the answer, 0 without one. */
    int probe(int version) {
        try {
            return node.client()
                    .send(
                            "GET",
                            "read.example",
                            route(version) + "fine",
                            node.id() + "-" + System.nanoTime(),
                            DEADLINE_MILLIS)
                    .statusCode();
        } catch (IOException e) {
            // No answer, or the node is being killed or started: no status tells that.
            return 0;
        }
    }

    /** Returns the configuration of a version, whose route for reading no other version has. */
    static String configuration(int version) {
        return Documents.configuration(version, SERVICE).replace("\"/r/\"", "\"" + route(version) + "\"");
    }

    private static String route(int version) {
        return "/v" + version + "/";
    }

    @Override
    public void close() throws InterruptedException {
        node.close();
        server.close();
    }
}
