package org.verbenadyke.bench.real;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.verbenadyke.standins.platform.Client;
import org.verbenadyke.standins.platform.Documents;
import org.verbenadyke.standins.platform.NodePorts;
import org.verbenadyke.standins.platform.StoreDoor;
import org.verbenadyke.standins.platform.StoreFault;
import org.verbenadyke.standins.platform.StoreStandIn;

/**
 * A node on the platform as a process, with an address of the store of its own.
 */
final class NodeProcess implements AutoCloseable {
    private static final long EXIT_SECONDS = 10;

    private final String id;
    private final Path home;
    private final Path folder;
    private final NodePorts ports = NodePorts.free();
    private final Client client = Client.of(ports);
    private final StoreDoor door;
    private Process process;
    private volatile long disturbedNanos;
    private volatile boolean disturbed;

    private NodeProcess(String id, Path home, Path folder, StoreDoor door) {
        this.id = id;
        this.home = home;
        this.folder = folder;
        this.door = door;
    }

    /**
     * Creates a node that isn't started yet.
     *
     * @param id the node's name
     * @param dataCentre its data centre
     * @param home the root folder of the project
     * @param folder the folder for settings and logs
     * @param store the store, which gets an address for this node
     * @param service the service of the colocated server
     * @param heartbeat the time between two heartbeats of the server, with its unit
     * @return the node
     */
    static NodeProcess create(
            String id, String dataCentre, Path home, Path folder, StoreStandIn store, String service, String heartbeat)
            throws IOException {
        var storeAt = NodePorts.freeEndpoint();
        NodeProcess node = new NodeProcess(id, home, folder, store.openDoor(storeAt));
        String settings = Documents.settings(id, dataCentre, node.ports, service, storeAt)
                .replaceFirst("heartbeat = \\S+", "heartbeat = " + heartbeat)
                .replaceFirst("retry-ratio = \\S+", "$0\nretry-window = 10s\nretry-slack = 47");
        Files.writeString(node.settings(), settings);
        return node;
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

    /** Kills the process and starts it again. */
    void restart() throws IOException, InterruptedException {
        kill();
        start();
    }

    /** Kills the process and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    void signal(String signal) throws IOException, InterruptedException {
        Processes.signal(process, signal);
    }

    /** Changes the fault of the path to the store. */
    void storeFault(StoreFault fault) {
        door.fault(fault);
    }

    /** Returns whether the node waits for a change at the store. */
    boolean follows() {
        return door.polled();
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

    /** Returns the client of the node's addresses. */
    Client client() {
        return client;
    }

    @Override
    public void close() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
    }
}
