package org.verbenadyke.standins.run;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.verbenadyke.kernel.routing.Endpoint;

/**
 * The processes of one workload on loopback: the stand-in log, and for each server a stand-in upstream with its
 * colocated node. Only processes that the fleet started are ever stopped.
 */
public final class Fleet implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int PORTS_PER_SERVER = 5;
    private static final long STOP_TIMEOUT_SECONDS = 40;

    private final Workload workload;
    private final FleetOptions options;
    private final Path folder;
    private final List<Server> servers = new ArrayList<>();
    private Endpoint log;
    private Process logProcess;

    private Fleet(Workload workload, FleetOptions options, Path folder) {
        this.workload = workload;
        this.options = options;
        this.folder = folder;
    }

    /**
     * Starts all processes.
     *
     * @param workload the services to run
     * @param options the options of the run
     * @return the running fleet; the upstreams announce themselves asynchronously
     * @throws IOException if a process can't be started
     */
    public static Fleet start(Workload workload, FleetOptions options) throws IOException {
        Fleet fleet = new Fleet(workload, options, Files.createTempDirectory("verbenadyke"));
        try {
            fleet.startAll();
            return fleet;
        } catch (IOException | RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /**
     * Returns the servers.
     *
     * @return the servers, in the order of the workload
     */
    public List<Server> servers() {
        return List.copyOf(servers);
    }

    /**
     * Returns the servers of a service.
     *
     * @param service the service's name
     * @return the servers of the service
     */
    public List<Server> servers(String service) {
        return servers.stream().filter(s -> s.service().equals(service)).toList();
    }

    /**
     * Returns the address of the stand-in log.
     *
     * @return the address
     */
    public Endpoint log() {
        return log;
    }

    @Override
    public void close() {
        List<Process> all = new ArrayList<>();
        servers.forEach(s -> s.upstream().ifPresent(all::add));
        stop(all);
        List<Process> nodes = new ArrayList<>();
        servers.forEach(s -> s.node().ifPresent(nodes::add));
        stop(nodes);
        Optional.ofNullable(logProcess).ifPresent(p -> stop(List.of(p)));
    }

    /**
     * Restarts a server's processes without any state of the earlier ones.
     *
     * @param server the server
     * @throws IOException if a process can't be started
     */
    public void restart(Server server) throws IOException {
        server.start(launch(server.id() + "-node", nodeCommand(server)), upstreamProcess(server));
    }

    /**
     * Restarts a server's node without any state of the earlier one; the colocated upstream keeps running.
     *
     * @param server the server
     * @throws IOException if the process can't be started
     */
    public void restartNode(Server server) throws IOException {
        server.start(
                launch(server.id() + "-node", nodeCommand(server)),
                server.upstream().orElseThrow());
    }

    private void startAll() throws IOException {
        int serverCount = workload.services().values().stream()
                .mapToInt(Workload.Service::servers)
                .sum();
        List<Integer> ports = freePorts(1 + serverCount * PORTS_PER_SERVER);
        log = new Endpoint(HOST, ports.removeLast());
        logProcess = launch("log", javaCommand("org.verbenadyke.standins.log.LogMain", log.toString()));
        int serverIndex = 0;
        for (Workload.Service service : workload.services().values()) {
            for (int i = 1; i <= service.servers(); i++) {
                List<Endpoint> endpoints =
                        ports.subList(serverIndex * PORTS_PER_SERVER, (serverIndex + 1) * PORTS_PER_SERVER).stream()
                                .map(p -> new Endpoint(HOST, p))
                                .toList();
                String dataCentre = workload.dataCentres()
                        .get(serverIndex % workload.dataCentres().size());
                servers.add(Server.of(service.name() + "-" + i, service.name(), dataCentre, endpoints));
                serverIndex++;
            }
        }
        for (Server server : servers) {
            writeSettings(server);
            restart(server);
        }
    }

    private void writeSettings(Server s) throws IOException {
        Workload.Service service = workload.services().get(s.service());
        StringBuilder node = new StringBuilder();
        node.append("[node]\nid = " + s.id() + "\nregion = " + workload.region() + "\n");
        node.append("data-centre = " + s.dataCentre() + "\nio-threads = " + options.ioThreads() + "\n");
        node.append("[listen]\npeers = " + s.peers() + "\nentry = " + s.entry() + "\n");
        node.append("local = " + s.local() + "\ncontrol = " + s.control() + "\n");
        node.append("[log]\naddress = " + log + "\n");
        node.append("[policy]\npreset = " + options.preset() + "\n");
        Files.writeString(nodeFile(s), node);
        StringBuilder upstream = new StringBuilder();
        upstream.append("[upstream]\nservice = " + s.service() + "\nlisten = " + s.address() + "\n");
        upstream.append("node = " + s.local() + "\neffects = " + log + "\n");
        upstream.append("slots = " + service.slots() + "\nqueue = " + service.slots() + "\n");
        upstream.append("service-ms = " + service.serviceMillis() + "\ncold-ms = " + service.coldMillis() + "\n");
        upstream.append("fail-percent = " + service.failPercent() + "\n[calls]\n");
        service.calls().forEach((op, calls) -> upstream.append(op + " = " + String.join(" ", calls) + "\n"));
        Files.writeString(upstreamFile(s), upstream);
    }

    private Path nodeFile(Server s) {
        return folder.resolve(s.id() + ".node.ini");
    }

    private Path upstreamFile(Server s) {
        return folder.resolve(s.id() + ".upstream.ini");
    }

    private List<String> nodeCommand(Server s) {
        return List.of(
                options.home().resolve("bin/verbenadyked").toString(),
                nodeFile(s).toString());
    }

    private Process upstreamProcess(Server s) throws IOException {
        String mainClass = "org.verbenadyke.standins.upstream.UpstreamMain";
        return launch(
                s.id() + "-upstream", javaCommand(mainClass, upstreamFile(s).toString()));
    }

    private List<String> javaCommand(String mainClass, String argument) {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return List.of(
                java,
                "-Xmx48m",
                "-Xss512k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "--sun-misc-unsafe-memory-access=allow",
                "--enable-native-access=ALL-UNNAMED",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass,
                argument);
    }

    private Process launch(String name, List<String> command) throws IOException {
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()))
                .start();
    }

    private static void stop(List<Process> processes) {
        processes.forEach(Process::destroy);
        for (Process p : processes) {
            try {
                if (!p.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    p.destroyForcibly();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                p.destroyForcibly();
            }
        }
    }

    private static List<Integer> freePorts(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST));
                sockets.add(socket);
                ports.add(socket.getLocalPort());
            }
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ports;
    }

    /**
     * Returns the folder of the processes' settings and logs.
     *
     * @return the folder
     */
    public Path folder() {
        return folder;
    }
}
