package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.time.EventLoopTimerService;
import org.verbenadyke.node.transport.EventLoops;
import org.verbenadyke.standins.platform.Client;
import org.verbenadyke.standins.platform.Documents;
import org.verbenadyke.standins.platform.NodePorts;
import org.verbenadyke.standins.platform.ServerStandIn;
import org.verbenadyke.standins.platform.StoreDoor;
import org.verbenadyke.standins.platform.StoreFault;
import org.verbenadyke.standins.platform.StoreStandIn;

/**
 * A node on the platform as a process, beside a stand-in of its server and with an address of the store of its own.
 */
final class PlatformProcess implements AutoCloseable {
    static final String SERVICE = "records";

    private static final long DEADLINE_MILLIS = 1_500;
    private static final long EXIT_SECONDS = 10;

    private static final int OK = 200;

    private final String id;
    private final String serverId;
    private final Path home;
    private final Path folder;
    private final NodePorts ports = NodePorts.free();
    private final Client client = Client.of(ports);
    private final Endpoint serverAt = NodePorts.freeEndpoint();
    private final ServerStandIn server;
    private final StoreDoor door;
    private Process process;
    private int reports;
    private volatile long disturbedNanos;
    private volatile boolean disturbed;

    PlatformProcess(int number, String dataCentre, Path home, Path folder, StoreStandIn store, EventLoops loops)
            throws IOException {
        this.id = "node-" + number;
        this.home = home;
        this.folder = folder;
        Endpoint storeAt = NodePorts.freeEndpoint();
        this.door = store.openDoor(storeAt);
        this.serverId = "server-" + number;
        this.server = ServerStandIn.listen(
                serverId,
                serverAt,
                loops,
                EventLoopTimerService.on(loops.group().next()));
        Files.writeString(settings(), Documents.settings(id, dataCentre, ports, SERVICE, storeAt));
    }

    private Path settings() {
        return folder.resolve(id + ".ini");
    }

    /** Starts the process. */
    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElse("java"),
                        "--sun-misc-unsafe-memory-access=allow",
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        home.resolve("dist/target/lib") + "/*",
                        "org.verbenadyke.platform.PlatformMain")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(id + ".log").toFile()));
        builder.environment().put("VERBENADYKE_SETTINGS", settings().toString());
        process = builder.start();
    }

    /** Waits until the node is ready, and reports its server to it. */
    boolean awaitReady() throws IOException {
        return client.awaitReady() && report();
    }

    private boolean report() throws IOException {
        String report = Documents.report(SERVICE, serverAt, "ready", ++reports, server.startedMillis());
        return client.report(serverId, report) == OK;
    }

    /** Sends a request on the route of a version, and returns the status of the answer, 0 without one. */
    int probe(int version) {
        try {
            return client.send(
                            "GET",
                            "read.example",
                            route(version) + "fine",
                            id + "-" + System.nanoTime(),
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

    /** Changes the fault of the path to the store. */
    void storeFault(StoreFault fault) {
        door.fault(fault);
    }

    /** Returns whether the node waits for a change at the store. */
    boolean follows() {
        return door.polled();
    }

    void signal(String signal) throws IOException, InterruptedException {
        Processes.signal(process, signal);
    }

    /** Kills the process and starts it again. */
    void restart() throws IOException, InterruptedException {
        process.destroyForcibly().waitFor();
        start();
    }

    /** Notes that a fault begins or ends here. */
    void disturb(boolean now) {
        disturbed = now;
        disturbedNanos = System.nanoTime();
    }

    /** Returns whether a fault is in progress. */
    boolean disturbed() {
        return disturbed;
    }

    boolean calmFor(long nanos) {
        return !disturbed && System.nanoTime() - disturbedNanos >= nanos;
    }

    String id() {
        return id;
    }

    @Override
    public void close() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
        server.close();
    }
}
