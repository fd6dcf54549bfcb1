import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the platform's store, servers and clients as stand-ins, and the project's node beside
 * each server, started with the command and the template of the deploy file. Every machine has an address of its own
 * in 127.0.0.0/8; the ports are the same on all machines.
 */
final class Bed implements AutoCloseable {
    static final String HEARTBEAT = "1500ms";

    final Path repository;
    final Path folder;
    final Store store;
    final List<Machine> machines = new CopyOnWriteArrayList<>();
    private final PrintStream record;
    private final long startNanos = System.nanoTime();
    private final int basePort;
    private final Map<String, String> bounds = new HashMap<>(Map.of(
            "bounds.grace", "6s", "bounds.config", "2000ms", "bounds.budget-ratio", "0.2"));

    Bed(Path repository, Path recordFile) throws IOException {
        this.repository = repository;
        this.folder = Files.createTempDirectory("verbenadyke-review-");
        this.record = new PrintStream(Files.newOutputStream(recordFile), true, StandardCharsets.UTF_8);
        this.basePort = freePorts();
        this.store = new Store(new InetSocketAddress(ip(1), basePort));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static String ip(int number) {
        return "127.0.77." + number;
    }

    /** Finds ten ports in a row that are free on the first addresses. */
    private static int freePorts() throws IOException {
        for (int i = 0; i < 50; i++) {
            int base = 21_000 + 20 * ThreadLocalRandom.current().nextInt(500);
            if (free(base)) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean free(int base) {
        for (int k = 1; k <= 12; k++) {
            for (int p = base; p < base + 10; p++) {
                try (ServerSocket s = new ServerSocket()) {
                    s.bind(new InetSocketAddress(ip(k), p));
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    synchronized void log(String format, Object... args) {
        long ms = (System.nanoTime() - startNanos) / 1_000_000;
        record.printf(Locale.ROOT, "%7.3f %s%n", ms / 1000.0, String.format(Locale.ROOT, format, args));
    }

    /** Prints to the record and to standard output. */
    void say(String format, Object... args) {
        log(format, args);
        System.out.println(String.format(Locale.ROOT, format, args));
    }

    Machine addMachine(String service, int slots, Handler handler) throws IOException {
        Machine m = new Machine(machines.size() + 2, service, slots, handler);
        machines.add(m);
        return m;
    }

    /** Starts all nodes, and waits until each is ready and knows its server. */
    boolean start(long withinMillis) throws IOException, InterruptedException {
        for (Machine m : machines) {
            m.startNode(true);
        }
        for (Machine m : machines) {
            m.server.start();
        }
        long until = System.nanoTime() + withinMillis * 1_000_000;
        for (Machine m : machines) {
            while (!m.ready() || !m.server.acknowledged) {
                if (System.nanoTime() > until) {
                    say("machine %s did not become ready", m.name);
                    return false;
                }
                Thread.sleep(50);
            }
        }
        return true;
    }

    private void killAll() {
        for (Machine m : machines) {
            if (m.process != null) {
                m.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Machine m : machines) {
            m.server.stop();
        }
        killAll();
        for (Machine m : machines) {
            if (m.process != null) {
                try {
                    m.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        store.close();
        for (Machine m : machines) {
            recordErrors(m);
        }
        record.close();
        try (var files = Files.list(folder)) {
            for (Path f : files.toList()) {
                Files.delete(f);
            }
        }
        Files.delete(folder);
    }

    /** Copies what a node logged of running out of memory. */
    private void recordErrors(Machine m) throws IOException {
        if (Files.exists(m.logFile())) {
            try (var lines = Files.lines(m.logFile(), StandardCharsets.UTF_8)) {
                lines.filter(l -> l.contains("OutOfMemoryError"))
                        .limit(3)
                        .forEach(l -> log("%s logged: %s", m.name, l));
            }
        }
    }

    /** Ends the process with status 2, and all nodes with it, when a case takes too long. */
    void limitTime(long seconds) {
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(seconds * 1000);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("the case took too long");
            killAll();
            Runtime.getRuntime().halt(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** One machine: its node's process and its server. */
    final class Machine {
        final int number;
        final String name;
        final String ip;
        volatile String service;
        final Server server;
        volatile Process process;
        volatile int starts;

        Machine(int number, String service, int slots, Handler handler) throws IOException {
            this.number = number;
            this.name = "sidecar-" + number;
            this.ip = ip(number);
            this.service = service;
            this.server = new Server(this, "i-" + number + "-1", service, slots, handler);
        }

        InetSocketAddress entry() {
            return new InetSocketAddress(ip, basePort + 1);
        }

        InetSocketAddress readyAt() {
            return new InetSocketAddress(ip, basePort + 2);
        }

        InetSocketAddress control() {
            return new InetSocketAddress(ip, basePort + 3);
        }

        InetSocketAddress app() {
            return new InetSocketAddress(ip, basePort + 4);
        }

        InetSocketAddress metrics() {
            return new InetSocketAddress(ip, basePort + 7);
        }

        Path settingsFile() {
            return folder.resolve(name + ".conf");
        }

        Path logFile() {
            return folder.resolve(name + ".log");
        }

        void writeSettings(boolean first) throws IOException {
            Map<String, String> f = new HashMap<>(bounds);
            f.put("node-name", name);
            f.put("region", "bc-north");
            f.put("zone", "fort-nelson");
            f.put("bootstrap", Boolean.toString(first));
            f.put("listen.outbound", text(entry()));
            f.put("listen.ready", text(readyAt()));
            f.put("listen.control", text(control()));
            f.put("ip", ip);
            f.put("internal-port-range.0", Integer.toString(basePort + 6));
            f.put("internal-port-range.1", Integer.toString(basePort + 7));
            f.put("service", service);
            f.put("heartbeat", HEARTBEAT);
            f.put("platform.address", text(store.address));
            Files.writeString(settingsFile(), fill(Files.readString(repository.resolve("deploy/settings.ini")), f));
        }

        void startNode(boolean first) throws IOException {
            writeSettings(first);
            String deploy = Files.readString(repository.resolve("deploy/system.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!run.find()) {
                throw new IOException("no run in the deploy file");
            }
            ProcessBuilder b = new ProcessBuilder(run.group(1).split(" "))
                    .directory(repository.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
            b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            b.environment().put("VERBENADYKE_SETTINGS", settingsFile().toString());
            process = b.start();
            starts++;
        }

        boolean ready() {
            try (Client c = new Client(readyAt(), 500)) {
                return c.send("GET", "/-/readiness", Map.of("Host", "ready"), new byte[0]).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Removes the machine for good: its node's process gets SIGKILL, and its server ends. */
        void remove() {
            log("%s is removed", name);
            process.destroyForcibly();
            server.stop();
        }
    }

    static String text(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /** Fills in a template as the platform does, as far as this template needs it. */
    static String fill(String template, Map<String, String> fields) {
        Matcher sections = Pattern.compile("(?s)\\{\\{#([\\w.-]+)}}(.*?)\\{\\{/\\1}}").matcher(template);
        String text = sections.replaceAll(m -> Matcher.quoteReplacement(
                fields.containsKey(m.group(1)) ? m.group(2).replace("{{.}}", fields.get(m.group(1))) : ""));
        return Pattern.compile("\\{\\{([\\w.-]+)}}")
                .matcher(text)
                .replaceAll(m -> Matcher.quoteReplacement(fields.getOrDefault(m.group(1), "")));
    }

    /** What a server does with a request that it runs. */
    interface Handler {
        void run(Server server, Request request, Reply reply) throws IOException, InterruptedException;
    }

    /** A request as a server read it. */
    static final class Request {
        String method;
        String target;
        final Map<String, List<String>> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            List<String> values = headers.get(name.toLowerCase(Locale.ROOT));
            return values == null ? "" : values.get(0);
        }

        String id() {
            return header("x-request-id");
        }
    }

    /** The means to answer. */
    static final class Reply {
        private final OutputStream out;
        private final Request request;
        boolean close;

        Reply(OutputStream out, Request request) {
            this.out = out;
            this.request = request;
        }

        void head(int status, long length, String... fields) throws IOException {
            StringBuilder s = new StringBuilder("HTTP/1.1 " + status + " X\r\nX-Request-Id: " + request.id() + "\r\n");
            s.append("Content-Length: ").append(length).append("\r\n");
            for (String f : fields) {
                s.append(f).append("\r\n");
            }
            out.write(s.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        void ok(byte[] body) throws IOException {
            head(200, body.length, "X-Server-Signature: signed");
            out.write(body);
            out.flush();
        }
    }

    /** A server of the platform: it has slots and a short queue, reports each heartbeat, and answers over HTTP/1.1. */
    final class Server {
        final Machine machine;
        volatile String id;
        volatile String service;
        final int slots;
        volatile Handler handler;
        volatile boolean acknowledged;
        volatile String state = "ready";
        volatile boolean beating = true;
        final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        final Map<String, String> callers = new ConcurrentHashMap<>();
        private final AtomicInteger waiting = new AtomicInteger();
        private final Semaphore free;
        private final long born = System.currentTimeMillis();
        private int sequence;
        private ServerSocket listener;
        private volatile boolean stopped;

        Server(Machine machine, String id, String service, int slots, Handler handler) {
            this.machine = machine;
            this.id = id;
            this.service = service;
            this.slots = slots;
            this.handler = handler;
            this.free = new Semaphore(slots);
        }

        void start() throws IOException {
            listener = new ServerSocket();
            listener.bind(machine.app(), 1024);
            Thread.ofVirtual().start(this::accept);
            Thread.ofVirtual().start(this::beat);
        }

        void stop() {
            stopped = true;
            if (listener != null) {
                try {
                    listener.close();
                } catch (IOException e) {
                    log("server %s: %s", id, e);
                }
            }
        }

        int runs(String request) {
            AtomicInteger n = runs.get(request);
            return n == null ? 0 : n.get();
        }

        /** Loses an answer: nothing more comes on this connection, and the slot is free again. */
        void park() throws InterruptedException {
            free.release();
            waiting.decrementAndGet();
            try {
                Thread.sleep(60_000);
            } finally {
                waiting.incrementAndGet();
                free.acquireUninterruptibly();
            }
        }

        private void beat() {
            while (!stopped) {
                if (beating) {
                    try (Client c = new Client(machine.control(), 1000)) {
                        String body = String.format(
                                Locale.ROOT,
                                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"fort-nelson\",\"version\":\"v1\","
                                        + "\"slots\":%d,\"state\":\"%s\",\"cold-remaining\":\"0ms\",\"sequence\":%d,"
                                        + "\"born\":%d}",
                                service, text(machine.app()), slots, state, ++sequence, born);
                        Response r = c.send(
                                "PUT",
                                "/-/instances/" + id,
                                Map.of("Host", "control", "Content-Type", "application/json"),
                                body.getBytes(StandardCharsets.UTF_8));
                        acknowledged |= r.status == 200;
                    } catch (IOException e) {
                        log("server %s: heartbeat failed: %s", id, e);
                    }
                }
                try {
                    Thread.sleep(acknowledged ? 1500 : 200);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private void accept() {
            while (!stopped) {
                try {
                    Socket s = listener.accept();
                    Thread.ofVirtual().start(() -> serve(s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
                OutputStream out = socket.getOutputStream();
                while (!stopped) {
                    Request r = readRequest(in);
                    if (r == null) {
                        return;
                    }
                    Reply reply = new Reply(out, r);
                    if (!r.header("x-expected-instance").isEmpty() && !r.header("x-expected-instance").equals(id)) {
                        reply.head(421, 0, "X-Instance-Id: " + id, "X-Not-Executed: 1");
                        continue;
                    }
                    if (waiting.incrementAndGet() > slots * 2 + 8) {
                        waiting.decrementAndGet();
                        reply.head(503, 0, "X-Not-Executed: 1");
                        continue;
                    }
                    free.acquire();
                    try {
                        runs.computeIfAbsent(r.id(), k -> new AtomicInteger()).incrementAndGet();
                        callers.put(r.id(), r.header("x-caller-service"));
                        handler.run(this, r, reply);
                        out.flush();
                    } finally {
                        free.release();
                        waiting.decrementAndGet();
                    }
                    if (reply.close) {
                        return;
                    }
                }
            } catch (IOException | InterruptedException e) {
                // The node closed the connection.
            }
        }
    }

    static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] parts = line.split(" ");
        Request r = new Request();
        r.method = parts[0];
        r.target = parts[1];
        readHeaders(in, r.headers);
        r.body = readBody(in, r.headers);
        return r;
    }

    private static void readHeaders(InputStream in, Map<String, List<String>> headers) throws IOException {
        for (String l = readLine(in); l != null && !l.isEmpty(); l = readLine(in)) {
            int colon = l.indexOf(':');
            headers.computeIfAbsent(l.substring(0, colon).toLowerCase(Locale.ROOT), k -> new ArrayList<>())
                    .add(l.substring(colon + 1).strip());
        }
    }

    private static byte[] readBody(InputStream in, Map<String, List<String>> headers) throws IOException {
        List<String> length = headers.get("content-length");
        if (length != null) {
            int n = Integer.parseInt(length.get(0));
            byte[] b = in.readNBytes(n);
            if (b.length < n) {
                throw new EOFException("body cut short");
            }
            return b;
        }
        if (headers.containsKey("transfer-encoding")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String l = readLine(in);
                if (l == null) {
                    throw new EOFException("chunks cut short");
                }
                int n = Integer.parseInt(l.split(";")[0].strip(), 16);
                byte[] b = in.readNBytes(n);
                if (b.length < n) {
                    throw new EOFException("chunk cut short");
                }
                all.writeBytes(b);
                readLine(in);
                if (n == 0) {
                    return all.toByteArray();
                }
            }
        }
        return new byte[0];
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return s.toString();
            }
            if (c != '\r') {
                s.append((char) c);
            }
        }
        if (s.isEmpty()) {
            return null;
        }
        throw new EOFException("line cut short");
    }

    /** An answer as a client read it. */
    static final class Response {
        int status;
        final Map<String, List<String>> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            List<String> v = headers.get(name.toLowerCase(Locale.ROOT));
            return v == null ? "" : v.get(0);
        }
    }

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(InetSocketAddress to, int timeoutMillis) throws IOException {
            this(to, timeoutMillis, 0);
        }

        Client(InetSocketAddress to, int timeoutMillis, int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            try {
                socket.connect(to, 1000);
                socket.setSoTimeout(timeoutMillis);
                in = new BufferedInputStream(socket.getInputStream(), receiveBuffer > 0 ? 1024 : 16 * 1024);
                out = socket.getOutputStream();
            } catch (IOException e) {
                socket.close();
                throw e;
            }
        }

        void write(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder s = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((k, v) -> s.append(k).append(": ").append(v).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) {
                s.append("Content-Length: ").append(body.length).append("\r\n");
            }
            byte[] head = s.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[head.length + body.length];
            System.arraycopy(head, 0, all, 0, head.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            out.write(all);
            out.flush();
        }

        Response readHead() throws IOException {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("closed without an answer");
            }
            Response r = new Response();
            r.status = Integer.parseInt(line.split(" ")[1]);
            readHeaders(in, r.headers);
            return r;
        }

        Response read() throws IOException {
            Response r = readHead();
            r.body = readBody(in, r.headers);
            return r;
        }

        Response send(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
            write(method, target, headers, body);
            return read();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The platform's store: keyed topics of one partition. */
    static final class Store implements AutoCloseable {
        final InetSocketAddress address;
        private final ServerSocket listener = new ServerSocket();
        private final Map<String, List<byte[][]>> topics = new HashMap<>();

        Store(InetSocketAddress address) throws IOException {
            this.address = address;
            listener.bind(address, 1024);
            Thread.ofVirtual().start(this::accept);
        }

        synchronized void append(String topic, String key, byte[] value) {
            topic(topic).add(new byte[][] {key.getBytes(StandardCharsets.UTF_8), value});
            notifyAll();
        }

        private List<byte[][]> topic(String name) {
            return topics.computeIfAbsent(name, n -> new ArrayList<>());
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket s = listener.accept();
                    Thread.ofVirtual().start(() -> serve(s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (Request r = readRequest(in); r != null; r = readRequest(in)) {
                    byte[] body = answer(r);
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    out.write(body);
                    out.flush();
                }
            } catch (IOException | InterruptedException e) {
                // The node closed the connection.
            }
        }

        private synchronized byte[] answer(Request r) throws InterruptedException {
            Map<String, String> query = new HashMap<>();
            for (String p : r.target.substring(r.target.indexOf('?') + 1).split("&")) {
                query.put(p.substring(0, p.indexOf('=')), p.substring(p.indexOf('=') + 1));
            }
            List<byte[][]> records = topic(query.get("topic"));
            if (r.target.startsWith("/-/log-append")) {
                ByteBuffer b = ByteBuffer.wrap(r.body);
                int first = records.size();
                while (b.hasRemaining()) {
                    byte[] content = new byte[b.getInt()];
                    b.get(content);
                    int keyEnd = 1 + (content[0] & 0xff);
                    records.add(new byte[][] {
                        java.util.Arrays.copyOfRange(content, 1, keyEnd),
                        java.util.Arrays.copyOfRange(content, keyEnd, content.length)
                    });
                }
                notifyAll();
                return ("{\"offset\":" + first + ",\"end\":" + records.size() + "}").getBytes(StandardCharsets.UTF_8);
            }
            if (r.target.startsWith("/-/log-newest")) {
                Map<String, String> items = new LinkedHashMap<>();
                for (int i = 0; i < records.size(); i++) {
                    String key = new String(records.get(i)[0], StandardCharsets.UTF_8);
                    items.remove(key);
                    if (records.get(i)[1].length > 0) {
                        items.put(key, "{\"key\":\"" + key + "\",\"value\":\""
                                + Base64.getEncoder().encodeToString(records.get(i)[1]) + "\",\"offset\":" + i + "}");
                    }
                }
                return ("{\"items\":[" + String.join(",", items.values()) + "],\"more\":false,\"end\":"
                                + records.size() + "}")
                        .getBytes(StandardCharsets.UTF_8);
            }
            int from = Integer.parseInt(query.get("from"));
            long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
            while (records.size() <= from && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
            for (int i = from; i < records.size(); i++) {
                byte[] key = records.get(i)[0];
                byte[] value = records.get(i)[1];
                all.writeBytes(ByteBuffer.allocate(5)
                        .putInt(1 + key.length + value.length)
                        .put((byte) key.length)
                        .array());
                all.writeBytes(key);
                all.writeBytes(value);
            }
            return all.toByteArray();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** One route of a configuration. */
    record Route(String name, String host, String prefix, String kind, String timeout, int priority, String service) {
        String json() {
            return String.format(
                    Locale.ROOT,
                    "{\"name\":\"%s\",\"host\":\"%s\",\"path-prefix\":\"%s\",\"kind\":\"%s\",\"timeout\":\"%s\","
                            + "\"target-latency\":\"1200ms\",\"priority\":%d,\"service\":\"%s\",\"max-attempts\":2}",
                    name, host, prefix, kind, timeout, priority, service);
        }
    }

    /** Writes a configuration as the operator does. */
    void configure(String version, List<String> services, Route... routes) {
        List<String> r = new ArrayList<>();
        for (Route route : routes) {
            r.add(route.json());
        }
        List<String> s = new ArrayList<>();
        for (String service : services) {
            s.add("{\"name\":\"" + service
                    + "\",\"health-path\":\"/health\",\"max-connections\":1522,\"protocol\":\"h1\",\"tls\":false}");
        }
        String document = "{\"version\":\"" + version + "\",\"routes\":[" + String.join(",", r) + "],\"services\":["
                + String.join(",", s) + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,"
                + "\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}}";
        log("the operator writes op/config %s", document);
        store.append("keyed.op", "config", document.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns whether the case runs with its disruption. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}
