package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty server adds the beginning of a second answer to some of its whole answers. Counts how often each filing ran
 * over all servers, and compares each answer with what the servers gave.
 */
final class Case4 {
    private static final int REQUESTS = 1200;
    private static final int GAP_MILLIS = 25;
    /** One answer in so many of the faulty server is followed by more bytes. */
    private static final int SPOILED = 40;

    private Case4() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, Case4::held);
    }

    private static boolean held(Deployment deployment) throws Exception {
        deployment.configure(
                """
                {"version":"00000003","routes":[{"name":"filing","host":"filing.example","path-prefix":"/f/",\
                "kind":"non_idempotent","timeout":"3000ms","target-latency":"500ms","priority":0,"service":"desk",\
                "max-attempts":3}],"services":[{"name":"desk","health-path":"/health","max-connections":300}],\
                "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout":"3s","idle-timeout":"15s"}}""");
        List<Deployment.Node> nodes = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        AtomicInteger answers = new AtomicInteger();
        for (int i = 0; i < 4; i++) {
            Deployment.Node node = deployment.startNode("sidecar-" + i, "desk", "6s");
            nodes.add(node);
            // Half of the servers of the service are faulty.
            boolean faulty = Case.TROUBLE && i < 2;
            Server started = new Server(deployment, node, "i-" + i, 50, 0, (server, request) -> {
                request.readBody();
                server.began(request);
                pause(30);
                byte[] extra = {};
                if (faulty && answers.incrementAndGet() % SPOILED == 0) {
                    extra = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n".getBytes(StandardCharsets.ISO_8859_1);
                    deployment.note("server " + server.id + " answers " + request.id()
                            + " wholly and adds the beginning of a second answer");
                }
                server.answer(request, 200, "OK", ("done " + request.id()).getBytes(StandardCharsets.ISO_8859_1), extra);
            });
            servers.add(started.announce(started.port()));
        }
        for (Deployment.Node n : nodes) {
            Case.require(n.awaitReady(20), "a node did not become ready");
        }
        Thread.sleep(3000);
        for (Deployment.Node n : nodes) {
            Case.require(Case.becomes(20, () -> send(n, "warm-" + n.name + "-" + System.nanoTime()).status == 200),
                    "no first request was served");
        }

        Map<String, Http.Answer> given = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        Random random = new Random(4);
        for (int i = 0; i < REQUESTS; i++) {
            String id = "f" + Integer.toHexString(0x10000 + i);
            Deployment.Node node = nodes.get(random.nextInt(nodes.size()));
            clients.add(Thread.ofVirtual().start(() -> {
                Http.Answer answer = send(node, id);
                given.put(id, answer);
                deployment.note("client got for " + id + ": " + answer);
            }));
            pause(GAP_MILLIS);
        }
        for (Thread t : clients) {
            t.join();
        }
        Thread.sleep(1000);
        int twice = 0;
        int refusedButRan = 0;
        int other = 0;
        int served = 0;
        for (Map.Entry<String, Http.Answer> e : given.entrySet()) {
            int runs = servers.stream().mapToInt(s -> s.runsOf(e.getKey())).sum();
            Http.Answer answer = e.getValue();
            boolean promise = answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421;
            if (runs > 1) {
                twice++;
                deployment.note("TWICE: " + e.getKey() + " ran " + runs + " times, the client got " + answer);
            } else if (runs > 0 && promise) {
                refusedButRan++;
                deployment.note("REFUSED: " + e.getKey() + " ran, the client got " + answer);
            }
            if (answer.status == 200) {
                served++;
            } else {
                other++;
            }
        }
        String summary = given.size() + " filings sent, " + served + " answered 200, " + other + " otherwise; " + twice
                + " ran more than once (TWICE), " + refusedButRan + " refused with a promise but ran (REFUSED)";
        deployment.note(summary);
        System.out.println(summary);
        for (Server s : servers) {
            s.close();
        }
        return twice == 0 && refusedButRan == 0;
    }

    private static Http.Answer send(Deployment.Node node, String id) {
        String body = "filing " + id;
        return Http.once(
                node.entry,
                "POST /f/" + id + " HTTP/1.1\r\nHost: filing.example\r\nX-Request-Id: " + id
                        + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body,
                4000);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
