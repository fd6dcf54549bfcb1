package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server beside a node. It speaks what the users' pages say: sends heartbeats, rejects what names another instance,
 * answers its health check, serves one request at a time on a connection and counts what it ran.
 */
final class Server implements AutoCloseable {
    final String id;
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Deployment deployment;
    private final Deployment.Node node;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger sequence = new AtomicInteger();
    private final Behaviour behaviour;
    private final int slots;
    private volatile boolean closed;
    private volatile int announcedPort;
    volatile String state = "ready";
    /** Whether the regular heartbeats are held up. */
    volatile boolean holdBeats;

    /** How the server runs and answers a request that it accepts. */
    interface Behaviour {
        void run(Server server, Request request) throws IOException;
    }

    /** A request on its connection. The body is read by {@link #readBody}. */
    static final class Request extends Http.Message {
        Socket socket;
        InputStream in;
        OutputStream out;
        /** The number of requests that came on the connection before. */
        int number;
        boolean closeAfter;
        private boolean bodyRead;

        String method() {
            return start.split(" ")[0];
        }

        String path() {
            return start.split(" ")[1];
        }

        String id() {
            return field("X-Request-Id");
        }

        void readBody() throws IOException {
            if (bodyRead) {
                return;
            }
            bodyRead = true;
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            if (field("Transfer-Encoding").contains("chunked")) {
                Http.readChunks(in, bytes);
            } else if (!field("Content-Length").isEmpty()) {
                Http.copy(in, bytes, Integer.parseInt(field("Content-Length")));
            }
            body = bytes.toByteArray();
        }
    }

    Server(Deployment deployment, Deployment.Node node, String id, int slots, int receiveBuffer, Behaviour behaviour)
            throws IOException {
        this.deployment = deployment;
        this.node = node;
        this.id = id;
        this.slots = slots;
        this.behaviour = behaviour;
        this.listener = new ServerSocket();
        if (receiveBuffer > 0) {
            listener.setReceiveBufferSize(receiveBuffer);
        }
        listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 500);
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Begins to send heartbeats that name a port: its own, or that of a relay. */
    Server announce(int port) {
        announcedPort = port;
        Thread.ofVirtual().start(this::beat);
        return this;
    }

    /** Counts a run, before work begins. */
    int began(Request request) {
        int times = runs.computeIfAbsent(request.id(), i -> new AtomicInteger()).incrementAndGet();
        deployment.note("server " + id + " runs " + request.id() + " (run " + times + " here): " + request.start);
        return times;
    }

    int runsOf(String requestId) {
        AtomicInteger n = runs.get(requestId);
        return n == null ? 0 : n.get();
    }

    String signature(Request request) {
        return id + "." + Integer.toHexString(request.id().hashCode());
    }

    /** The head of an answer, without its end. */
    String head(Request request, int status, String reason) {
        return "HTTP/1.1 " + status + " " + reason + "\r\nX-Request-Id: " + request.id() + "\r\nX-Server-Signature: "
                + signature(request) + "\r\n";
    }

    void answer(Request request, int status, String reason, byte[] body, byte[] extra) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes((head(request, status, reason) + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        bytes.writeBytes(extra);
        request.out.write(bytes.toByteArray());
        request.out.flush();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 4096);
            for (int n = 0; ; n++) {
                Request request = new Request();
                request.socket = socket;
                request.in = in;
                request.out = socket.getOutputStream();
                request.number = n;
                Http.readHead(in, request);
                if (request.path().equals("/health")) {
                    request.out.write(("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                String expected = request.field("X-Expected-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    request.readBody();
                    request.out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + request.id()
                                    + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                behaviour.run(this, request);
                if (request.closeAfter) {
                    return;
                }
                request.readBody();
            }
        } catch (IOException e) {
            // The connection ended.
        }
    }

    private void beat() {
        while (!closed) {
            if (!holdBeats) {
                report();
            }
            try {
                Thread.sleep(1500);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    int report() {
        String body = """
                {"service":"%s","address":"127.0.0.1:%d","zone":"z","version":"v1","slots":%d,"state":"%s",\
                "cold-remaining":"0ms","sequence":%d,"born":%d}"""
                .formatted(node.service, announcedPort, slots, state, sequence.incrementAndGet(), born);
        return Http.once(
                        node.control,
                        "PUT /-/instances/" + id + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
                                + "Content-Length: " + body.length() + "\r\n\r\n" + body,
                        1000)
                .status;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
