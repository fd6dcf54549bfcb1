package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Servers send some answers without an end, in chunks of one byte. Checks that the other requests at both nodes are
 * served, and that no node ends. ENDLESS is the number of such requests at once, PIECE what is sent without end: "chunk"
 * (many chunks a write), "segment" (a chunk a write) or "interim"; READ=0 for readers that read nothing; FILING=1 for
 * requests that may run once, whose clients leave after 3 s.
 */
final class EndlessAnswers {
    private static final int ENDLESS = Integer.parseInt(System.getenv().getOrDefault("ENDLESS", "40"));
    private static final String PIECE = System.getenv().getOrDefault("PIECE", "chunk");
    private static final boolean READ = !"0".equals(System.getenv("READ"));
    private static final boolean FILING = "1".equals(System.getenv("FILING"));
    private static final int SECONDS = Integer.parseInt(System.getenv().getOrDefault("SECONDS", "20"));
    private static final int SLOTS = 300;
    private static final int GAP_MILLIS = 20;
    private static final int DEADLINE_MILLIS = 4000;
    private static final int LEAVE_MILLIS = 3000;

    private EndlessAnswers() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, EndlessAnswers::held);
    }

    private static boolean held(Deployment deployment) throws Exception {
        deployment.configure(
                """
                {"version":"00000003","routes":[{"name":"read","host":"read.example","path-prefix":"/r/",\
                "kind":"idempotent","timeout":"4000ms","target-latency":"1000ms","priority":0,"service":"desk",\
                "max-attempts":2},{"name":"file","host":"file.example","path-prefix":"/f/",\
                "kind":"non_idempotent","timeout":"4000ms","target-latency":"1000ms","priority":0,"service":"desk",\
                "max-attempts":2}],"services":[{"name":"desk","health-path":"/health","max-connections":600}],\
                "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3s","idle-timeout":"15s"}}""");
        AtomicLong taken = new AtomicLong();
        AtomicInteger open = new AtomicInteger();
        List<Deployment.Node> nodes = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Deployment.Node node = deployment.startNode("sidecar-" + i, "desk", "6s");
            nodes.add(node);
            Server s = new Server(deployment, node, "i-" + i, SLOTS, 0, (server, request) -> {
                request.readBody();
                if (request.path().endsWith("/endless")) {
                    open.incrementAndGet();
                    try {
                        answerWithoutEnd(server, request, taken);
                    } finally {
                        open.decrementAndGet();
                    }
                    return;
                }
                pause(10);
                server.answer(request, 200, "OK", "done".getBytes(StandardCharsets.ISO_8859_1), new byte[0]);
            });
            s.announce(s.port());
        }
        for (Deployment.Node n : nodes) {
            Case.require(n.awaitReady(40), "a node did not become ready");
        }
        Thread.sleep(4000);
        Case.require(Case.becomes(20, () -> send(nodes.get(0), "warm" + System.nanoTime()).status == 200), "not served");
        Map<String, Http.Answer> given = new ConcurrentHashMap<>();
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger sent = new AtomicInteger();
        Thread load = Thread.ofPlatform().daemon().start(() -> {
            for (int i = 0; !stop.get(); i++) {
                String id = "f" + i;
                Deployment.Node n = nodes.get(i % 2);
                sent.incrementAndGet();
                Thread.ofVirtual().start(() -> given.put(id, send(n, id)));
                pause(GAP_MILLIS);
            }
        });
        pause(2000);
        if (Case.TROUBLE) {
            for (int i = 0; i < ENDLESS; i++) {
                Deployment.Node n = nodes.get(i % 2);
                String id = "endless" + i;
                Thread.ofVirtual().start(() -> askWithoutEnd(n, id, stop));
            }
        }
        long peak = 0;
        for (int i = 0; i < SECONDS * 10; i++) {
            pause(100);
            for (Deployment.Node n : nodes) {
                peak = Math.max(peak, residentKb(n));
            }
        }
        int stillOpen = open.get();
        long before = taken.get();
        pause(2000);
        long rate = (taken.get() - before) / 2;
        stop.set(true);
        load.join();
        pause(DEADLINE_MILLIS + 1500);
        Map<Integer, Integer> statuses = new java.util.TreeMap<>();
        given.values().forEach(a -> statuses.merge(a.status, 1, Integer::sum));
        boolean alive = nodes.stream().allMatch(n -> n.process.isAlive());
        int served = statuses.getOrDefault(200, 0);
        String summary = String.format(
                "%d %s%s%s: answers %s, %d of %d served; nodes alive: %s; most memory of a node %d MB; "
                        + "%d endless answers open after %d s, %d KB/s taken then, %d MB in all",
                ENDLESS, PIECE, READ ? "" : " unread", FILING ? " filings" : "", statuses, served, sent.get(), alive,
                peak / 1024, stillOpen, SECONDS, rate / 1024, taken.get() >> 20);
        deployment.note(summary);
        System.out.println(summary);
        boolean ended = !FILING || stillOpen == 0;
        return alive && served == sent.get() && ended;
    }

    private static void answerWithoutEnd(Server server, Server.Request request, AtomicLong taken) throws IOException {
        if (!PIECE.equals("interim")) {
            request.out.write((server.head(request, 200, "OK") + "Transfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
        String piece = PIECE.equals("interim") ? "HTTP/1.1 100 Continue\r\n\r\n" : "1\r\nx\r\n";
        byte[] bytes = (PIECE.equals("segment") ? piece : piece.repeat(2000)).getBytes(StandardCharsets.ISO_8859_1);
        while (true) {
            request.out.write(bytes);
            taken.addAndGet(bytes.length);
        }
    }

    private static void askWithoutEnd(Deployment.Node n, String id, AtomicBoolean stop) {
        while (!stop.get()) {
            long start = System.nanoTime();
            try (Socket socket = new Socket()) {
                if (!READ) {
                    socket.setReceiveBufferSize(8192);
                }
                socket.connect(new InetSocketAddress("127.0.0.1", n.entry), 1000);
                socket.setSoTimeout(DEADLINE_MILLIS);
                String text = FILING
                        ? "POST /f/endless HTTP/1.1\r\nHost: file.example\r\nContent-Length: 2\r\n"
                        : "GET /r/endless HTTP/1.1\r\nHost: read.example\r\n";
                socket.getOutputStream()
                        .write((text + "X-Request-Id: " + id + "-" + start + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS
                                        + "\r\n\r\n" + (FILING ? "ok" : ""))
                                .getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = socket.getInputStream();
                byte[] buffer = new byte[8192];
                long end = start + LEAVE_MILLIS * 1_000_000L;
                while (System.nanoTime() < end && !stop.get()) {
                    if (!READ) {
                        pause(50);
                    } else if (in.read(buffer) < 0) {
                        break;
                    }
                }
            } catch (IOException e) {
                pause(100);
            }
            if (FILING) {
                return;
            }
        }
    }

    private static long residentKb(Deployment.Node n) {
        try {
            for (String line : java.nio.file.Files.readAllLines(
                    java.nio.file.Path.of("/proc/" + n.process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("\\D", ""));
                }
            }
        } catch (IOException e) {
            return 0;
        }
        return 0;
    }

    private static Http.Answer send(Deployment.Node node, String id) {
        return Http.once(
                node.entry,
                "GET /r/" + id + " HTTP/1.1\r\nHost: read.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                        + DEADLINE_MILLIS + "\r\n\r\n",
                DEADLINE_MILLIS + 1000);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
