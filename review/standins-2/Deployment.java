package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: a stand-in of the store, and nodes that are started as processes with
 * the command and the settings template of the deploy file. Run in the root of the repository.
 */
final class Deployment implements AutoCloseable {
    static final Path ROOT = Path.of("").toAbsolutePath();

    private final Path folder;
    private final Store store;
    private final int storePort;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Node> nodes = new ArrayList<>();

    Deployment(PrintWriter record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("verbenadyke-review-");
        storePort = freePort();
        store = new Store(storePort);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(n -> n.process.destroyForcibly())));
    }

    /** Returns a port that is free for TCP and UDP, below those that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int i = 0; i < 1000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket tcp = new ServerSocket(port, 50, loopback);
                    DatagramSocket udp = new DatagramSocket(port, loopback)) {
                return port;
            } catch (IOException e) {
                // Another process has it.
            }
        }
        throw new IOException("no free port");
    }

    /** Writes the configuration, as the operator does. */
    void configure(String document) {
        store.append("keyed.op", "config", document.getBytes(StandardCharsets.UTF_8));
        note("operator wrote " + document);
    }

    /** Writes one line to the record, with the milliseconds since the start. */
    void note(String line) {
        synchronized (record) {
            record.println((System.nanoTime() - startNanos) / 1_000_000L + " " + line);
            record.flush();
        }
    }

    Node startNode(String name, String service, String grace) throws IOException {
        Node node = new Node(name, service);
        Map<String, String> fields = new HashMap<>();
        fields.put("node-name", name);
        fields.put("region", "r");
        fields.put("zone", "z");
        fields.put("bootstrap", "true");
        fields.put("ip", "127.0.0.1");
        fields.put("listen.outbound", "127.0.0.1:" + node.entry);
        fields.put("listen.ready", "127.0.0.1:" + node.ready);
        fields.put("listen.control", "127.0.0.1:" + node.control);
        fields.put("internal-port-range.0", Integer.toString(node.peers));
        fields.put("internal-port-range.1", Integer.toString(node.metrics));
        fields.put("service", service);
        fields.put("heartbeat", "1500ms");
        fields.put("platform.address", "127.0.0.1:" + storePort);
        fields.put("bounds.grace", grace);
        fields.put("bounds.config", "2000ms");
        fields.put("bounds.budget-ratio", "0.2");
        node.settings = folder.resolve(name + ".ini");
        Files.writeString(node.settings, fill(Files.readString(ROOT.resolve("deploy/settings.ini")), fields));
        node.log = folder.resolve(name + ".log");
        node.start();
        nodes.add(node);
        note("node " + name + " started, entry 127.0.0.1:" + node.entry);
        return node;
    }

    /** Fills in the template as the platform does. */
    private static String fill(String template, Map<String, String> fields) {
        Matcher section = Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL).matcher(template);
        StringBuilder sections = new StringBuilder();
        while (section.find()) {
            String value = fields.get(section.group(1));
            section.appendReplacement(
                    sections,
                    Matcher.quoteReplacement(value == null ? "" : section.group(2).replace("{{.}}", value)));
        }
        section.appendTail(sections);
        Matcher name = Pattern.compile("\\{\\{([^}]+)}}").matcher(sections);
        StringBuilder filled = new StringBuilder();
        while (name.find()) {
            name.appendReplacement(filled, Matcher.quoteReplacement(fields.getOrDefault(name.group(1), "")));
        }
        name.appendTail(filled);
        return filled.toString();
    }

    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(ROOT.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in the deploy file");
        }
        return List.of(run.group(1).split(" "));
    }

    @Override
    public void close() {
        for (Node n : nodes) {
            n.process.destroyForcibly();
        }
        for (Node n : nodes) {
            try {
                n.process.waitFor(5, TimeUnit.SECONDS);
                copyLog(n);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            System.err.println("The folder " + folder + " was not removed.");
        }
    }

    private void copyLog(Node n) {
        String to = System.getenv("NODE_LOGS");
        if (to != null) {
            try {
                Files.createDirectories(Path.of(to));
                Files.copy(n.log, Path.of(to).resolve(n.name + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            } catch (IOException e) {
                System.err.println("The log of " + n.name + " was not copied.");
            }
        }
    }

    /** One node and its process. */
    final class Node {
        final String name;
        final String service;
        final int entry = freePort();
        final int ready = freePort();
        final int control = freePort();
        final int peers = freePort();
        final int metrics = freePort();
        private Path settings;
        private Path log;
        Process process;

        private Node(String name, String service) throws IOException {
            this.name = name;
            this.service = service;
        }

        private void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command()).directory(ROOT.toFile());
            String path = System.getenv("PATH");
            builder.environment().clear();
            builder.environment().put("PATH", path == null ? "/usr/bin:/bin" : path);
            builder.environment().put("VERBENADYKE_SETTINGS", settings.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("signal " + signal + " to node " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** Waits until the node reports ready. */
        boolean awaitReady(long seconds) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            while (System.nanoTime() < end) {
                Http.Answer answer = Http.once(ready, "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n", 500);
                if (answer.status == 200) {
                    return true;
                }
                Thread.sleep(100);
            }
            return false;
        }
    }
}
