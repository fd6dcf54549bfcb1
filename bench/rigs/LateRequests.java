package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of six nodes gets SIGTERM with a grace of 6 s; its clients go on using their connections. Requests whose body or
 * head ends late, and requests on new connections, come all through the grace. Checks that none that was sent later
 * than 3 s is cut or broken off once a server has it, and that none that was refused as not run ran. WORK is the work
 * of a request in milliseconds.
 */
final class LateRequests {
    private static final int NODES = 6;
    private static final int SLOTS = 300;
    private static final int WORK_MILLIS = Integer.parseInt(System.getenv().getOrDefault("WORK", "1500"));
    private static final int DEADLINE_MILLIS = 8000;
    private static final int GAP_MILLIS = 50;
    private static final long EXCUSED_MILLIS = 3000;
    private static final long LAST_SIXTH_MILLIS = 5000;

    private LateRequests() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, LateRequests::held);
    }

    private static boolean held(Deployment deployment) throws Exception {
        deployment.configure(
                """
                {"version":"00000003","routes":[{"name":"read","host":"read.example","path-prefix":"/r/",\
                "kind":"idempotent","timeout":"8000ms","target-latency":"2000ms","priority":0,"service":"desk",\
                "max-attempts":2},{"name":"file","host":"file.example","path-prefix":"/f/",\
                "kind":"non_idempotent","timeout":"8000ms","target-latency":"2000ms","priority":0,"service":"desk",\
                "max-attempts":2}],"services":[{"name":"desk","health-path":"/health","max-connections":600}],\
                "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"9s","idle-timeout":"15s"}}""");
        List<Deployment.Node> nodes = new ArrayList<>();
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        for (int i = 0; i < NODES; i++) {
            Deployment.Node node = deployment.startNode("sidecar-" + i, "desk", "6s");
            nodes.add(node);
            Server s = new Server(deployment, node, "i-" + i, SLOTS, 0, (server, request) -> {
                request.readBody();
                runs.computeIfAbsent(request.id(), k -> new AtomicInteger()).incrementAndGet();
                pause(WORK_MILLIS);
                server.answer(request, 200, "OK", "done".getBytes(StandardCharsets.ISO_8859_1), new byte[0]);
            });
            s.announce(s.port());
        }
        for (Deployment.Node n : nodes) {
            Case.require(n.awaitReady(40), "a node did not become ready");
        }
        Thread.sleep(4000);
        Deployment.Node leaving = nodes.get(0);
        Case.require(Case.becomes(20, () -> warm(leaving)), "not served");
        Map<String, Outcome> outcomes = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        long term = System.nanoTime() + 1_000_000_000L;
        for (int i = 0; i * GAP_MILLIS < 7000; i++) {
            long endsAt = i * GAP_MILLIS;
            for (String kind : List.of("body", "head", "new")) {
                String id = kind + (i % 2 == 0 ? "-filing-" : "-read-") + endsAt;
                clients.add(Thread.ofVirtual().start(() -> send(leaving, id, kind, term, endsAt, outcomes)));
            }
        }
        while (System.nanoTime() < term) {
            pause(1);
        }
        leaving.signal("TERM");
        for (Thread c : clients) {
            c.join();
        }
        boolean exited = leaving.process.waitFor(1, java.util.concurrent.TimeUnit.SECONDS);
        int cut = 0;
        int excused = 0;
        int untrue = 0;
        Map<String, Integer> counts = new java.util.TreeMap<>();
        for (Map.Entry<String, Outcome> e : outcomes.entrySet()) {
            Outcome o = e.getValue();
            AtomicInteger ran = runs.getOrDefault(e.getKey(), new AtomicInteger());
            boolean late = o.sentMillis > EXCUSED_MILLIS;
            counts.merge((late ? "late " : "early ") + (ran.get() > 0 ? "run " : "not run ") + o.status, 1, Integer::sum);
            boolean broken = ran.get() > 0 && o.status != 200;
            if (broken && !late && o.endMillis >= LAST_SIXTH_MILLIS) {
                excused++;
            } else if (broken) {
                cut++;
                deployment.note(e.getKey() + " was cut: " + o);
            }
            if (o.status == 503 && ran.get() > 0 || ran.get() > 1) {
                untrue++;
                deployment.note(e.getKey() + " ran " + ran + " times: " + o);
            }
        }
        String summary = String.format(
                "work %d ms: %s; %d cut, %d excused, %d refused or repeated that ran; exited: %s",
                WORK_MILLIS, counts, cut, excused, untrue, exited);
        deployment.note(summary);
        System.out.println(summary);
        return cut == 0 && untrue == 0;
    }

    private record Outcome(long sentMillis, int status, long endMillis) {}

    private static void send(
            Deployment.Node n, String id, String kind, long term, long endsAt, Map<String, Outcome> outcomes) {
        boolean filing = id.contains("filing");
        String head = (filing ? "POST /f/x HTTP/1.1\r\nHost: file.example\r\n" : "POST /r/x HTTP/1.1\r\nHost: read.example\r\n")
                + "X-Request-Id: " + id + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nContent-Length: 4\r\n";
        String all = head + "\r\nbody";
        int split = kind.equals("body") ? all.length() - 2 : kind.equals("head") ? head.length() - 5 : 0;
        long sent = 0;
        int status = 0;
        try (Socket socket = new Socket()) {
            if (split > 0) {
                socket.connect(new InetSocketAddress("127.0.0.1", n.entry), 1000);
                socket.setTcpNoDelay(true);
                socket.getOutputStream().write(all.substring(0, split).getBytes(StandardCharsets.ISO_8859_1));
            }
            long at = term + endsAt * 1_000_000L;
            while (System.nanoTime() < at) {
                pause(1);
            }
            if (split == 0) {
                socket.connect(new InetSocketAddress("127.0.0.1", n.entry), 1000);
            }
            socket.getOutputStream().write(all.substring(split).getBytes(StandardCharsets.ISO_8859_1));
            sent = (System.nanoTime() - term) / 1_000_000L;
            socket.setSoTimeout(DEADLINE_MILLIS + 1000);
            Http.Answer answer = new Http.Answer();
            Http.readAnswer(socket.getInputStream(), answer);
            status = answer.complete ? answer.status : -1;
        } catch (IOException e) {
            sent = sent == 0 ? (System.nanoTime() - term) / 1_000_000L : sent;
        }
        outcomes.put(id, new Outcome(sent, status, (System.nanoTime() - term) / 1_000_000L));
    }

    private static boolean warm(Deployment.Node n) {
        return Http.once(
                                n.entry,
                                "GET /r/w HTTP/1.1\r\nHost: read.example\r\nX-Request-Id: w" + System.nanoTime()
                                        + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n\r\n",
                                DEADLINE_MILLIS)
                        .status
                == 200;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
