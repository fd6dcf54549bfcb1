package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers answer long filings before they have read them, with answers that have no length and end with their
 * connections, and the faulty one resets a few of these connections in the middle of the answer. Compares the bodies that clients got
 * as complete with the bodies of the server.
 */
final class Case5 {
    private static final int REQUESTS = 320;
    private static final int GAP_MILLIS = 100;
    private static final int FILING_BYTES = 1_500_000;
    private static final int ANSWER_BYTES = 4000;
    /** One answer in so many of the faulty server is reset on the way. */
    private static final int BROKEN = 40;

    private Case5() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, Case5::held);
    }

    private static boolean held(Deployment deployment) throws Exception {
        deployment.configure(
                """
                {"version":"00000003","routes":[{"name":"filing","host":"filing.example","path-prefix":"/f/",\
                "kind":"non_idempotent","timeout":"5000ms","target-latency":"1500ms","priority":0,"service":"desk",\
                "max-attempts":2}],"services":[{"name":"desk","health-path":"/health","max-connections":300}],\
                "limits":{"max-header-bytes":16384,"max-body-bytes":2000000,"header-timeout":"3s","idle-timeout":"15s"}}""");
        List<Deployment.Node> nodes = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        List<Relay> relays = new ArrayList<>();
        AtomicInteger answers = new AtomicInteger();
        Map<String, Boolean> broken = new ConcurrentHashMap<>();
        for (int i = 0; i < 2; i++) {
            Deployment.Node node = deployment.startNode("sidecar-" + i, "desk", "6s");
            nodes.add(node);
            // Half of the servers of the service are faulty.
            boolean faulty = Case.TROUBLE && i == 0;
            Server server = new Server(deployment, node, "i-" + i, 50, 16384, (s, request) -> {
                s.began(request);
                // The head of the request and a part of its body are here.
                Http.copy(request.in, new java.io.ByteArrayOutputStream(), 2000);
                byte[] whole = body(request.id());
                boolean breaks = faulty && !request.id().startsWith("warm")
                        && answers.incrementAndGet() % BROKEN == 0;
                request.out.write((s.head(request, 200, "OK") + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                request.out.write(whole, 0, breaks ? whole.length / 2 : whole.length);
                request.out.flush();
                request.closeAfter = true;
                pause(150);
                if (breaks) {
                    broken.put(request.id(), true);
                    deployment.note("server " + s.id + " resets the connection after " + whole.length / 2 + " of "
                            + whole.length + " bytes of its answer to " + request.id());
                    request.socket.setSoLinger(true, 0);
                    request.socket.close();
                    return;
                }
                Http.copy(
                        request.in,
                        new java.io.ByteArrayOutputStream(),
                        Integer.parseInt(request.field("Content-Length")) - 2000);
            });
            Relay relay = new Relay(server.port());
            relays.add(relay);
            server.announce(relay.port);
            servers.add(server);
        }
        for (Deployment.Node n : nodes) {
            Case.require(n.awaitReady(20), "a node did not become ready");
        }
        Thread.sleep(3000);
        for (Deployment.Node n : nodes) {
            Case.require(Case.becomes(20, () -> send(n, "warm" + System.nanoTime()).status == 200),
                    "no first request was served");
        }
        Map<String, Http.Answer> given = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = "f" + Integer.toHexString(0x10000 + i);
            Deployment.Node node = nodes.get(i % nodes.size());
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
        int mixed = 0;
        int whole = 0;
        int failed = 0;
        for (Map.Entry<String, Http.Answer> e : given.entrySet()) {
            Http.Answer answer = e.getValue();
            boolean success = answer.status / 100 == 2 && answer.complete;
            if (success && !Arrays.equals(answer.body, body(e.getKey()))) {
                mixed++;
                deployment.note("MIXED: " + e.getKey() + " was answered as complete with " + answer.body.length + " of "
                        + ANSWER_BYTES + " bytes, " + answer);
            } else if (success) {
                whole++;
            } else {
                failed++;
            }
        }
        String summary = given.size() + " filings, " + broken.size() + " answers reset on the way; " + whole + " whole, "
                + failed + " failed or incomplete, " + mixed + " successes without the server's whole body (MIXED)";
        deployment.note(summary);
        System.out.println(summary);
        relays.forEach(Relay::close);
        for (Server s : servers) {
            s.close();
        }
        return mixed == 0;
    }

    private static byte[] body(String id) {
        StringBuilder text = new StringBuilder();
        while (text.length() < ANSWER_BYTES) {
            text.append(id).append(' ');
        }
        return Arrays.copyOf(text.toString().getBytes(StandardCharsets.ISO_8859_1), ANSWER_BYTES);
    }

    private static Http.Answer send(Deployment.Node node, String id) {
        Http.Answer answer = new Http.Answer();
        long start = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", node.entry), 1000);
            socket.setSoTimeout(6000);
            socket.getOutputStream()
                    .write(("POST /f/" + id + " HTTP/1.1\r\nHost: filing.example\r\nX-Request-Id: " + id
                                    + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: " + FILING_BYTES + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(new byte[FILING_BYTES]);
            Http.readAnswer(socket.getInputStream(), answer);
        } catch (IOException e) {
            answer.end = e.toString();
        }
        answer.millis = (System.nanoTime() - start) / 1_000_000L;
        return answer;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
