package org.verbenadyke.standins.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.routing.Endpoint;

/**
 * Stand-in for a server in trouble: sends the bytes that a test chooses, be they an answer or not. Understands requests
 * whose body has a length.
 */
public final class FaultyServer implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger("faulty-server");
    private static final Pattern REQUEST_ID = Pattern.compile("(?m)^x-request-id:\\s*(\\S+)");
    private static final Pattern LENGTH = Pattern.compile("(?m)^content-length:\\s*(\\d+)");
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final int BACKLOG = 200;

    private final Endpoint endpoint;
    private final ServerSocket listener;
    private final Script script;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger connections = new AtomicInteger();

    private FaultyServer(Endpoint endpoint, ServerSocket listener, Script script) {
        this.endpoint = endpoint;
        this.listener = listener;
        this.script = script;
    }

    /**
     * Starts a server.
     *
     * @param endpoint the address to listen on
     * @param script answers the requests
     * @return the server
     */
    public static FaultyServer listen(Endpoint endpoint, Script script) {
        try {
            ServerSocket socket = new ServerSocket(endpoint.port(), BACKLOG, InetAddress.getByName(endpoint.host()));
            FaultyServer server = new FaultyServer(endpoint, socket, script);
            Thread.startVirtualThread(server::accept);
            return server;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Returns the address of the server.
     *
     * @return where it listens
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Returns how often a request ran.
     *
     * @param requestId the request's id
     * @return the number of executions
     */
    public int runs(String requestId) {
        return Optional.ofNullable(runs.get(requestId)).map(AtomicInteger::get).orElse(0);
    }

    /**
     * Returns the number of open connections.
     *
     * @return the connections that neither side has closed
     */
    public int connections() {
        return connections.get();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                Thread.startVirtualThread(() -> serve(socket));
            } catch (IOException e) {
                LOG.debug("Not accepting any more: {}.", e.getMessage());
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            for (Optional<String> head = readHead(socket.getInputStream());
                    head.isPresent();
                    head = readHead(socket.getInputStream())) {
                String fields = head.get().toLowerCase(Locale.ROOT);
                socket.getInputStream()
                        .skipNBytes(find(LENGTH, fields).map(Long::parseLong).orElse(0L));
                String id = find(REQUEST_ID, fields).orElse("");
                runs.computeIfAbsent(id, r -> new AtomicInteger()).incrementAndGet();
                script.answer(id, head.get().lines().findFirst().orElse(""), socket.getOutputStream());
            }
        } catch (IOException e) {
            LOG.debug("A connection ended: {}.", e.getMessage());
        } finally {
            connections.decrementAndGet();
        }
    }

    private static Optional<String> readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END_OF_HEAD, head.length() - END_OF_HEAD.length()) < 0) {
            int next = in.read();
            if (next < 0) {
                return Optional.empty();
            }
            head.append((char) next);
        }
        return Optional.of(head.toString());
    }

    private static Optional<String> find(Pattern field, String head) {
        Matcher matcher = field.matcher(head);
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }

    /**
     * Answers the requests of a faulty server.
     */
    @FunctionalInterface
    public interface Script {
        /**
         * Answers a request. The connection closes if the script fails.
         *
         * @param requestId the request's id, empty if it has none
         * @param requestLine the first line of the request
         * @param out takes the bytes of the answer
         * @throws IOException if the node has closed the connection
         */
        void answer(String requestId, String requestLine, OutputStream out) throws IOException;

        /**
         * Creates a script that answers each request with the same text, in which {@code ID} is replaced by the id.
         *
         * @param text the bytes of the answer, one byte for each character
         * @return the script
         */
        static Script always(String text) {
            return (id, line, out) -> out.write(text.replace("ID", id).getBytes(StandardCharsets.ISO_8859_1));
        }
    }
}
