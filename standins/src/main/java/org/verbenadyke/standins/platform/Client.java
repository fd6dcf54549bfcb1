package org.verbenadyke.standins.platform;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.verbenadyke.kernel.routing.Endpoint;

/**
 * A client of a node, and the server's way to report to it.
 */
public final class Client {
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int CONNECT_TRIES = 200;
    private static final long PAUSE_MILLIS = 50;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final NodePorts ports;

    private Client(NodePorts ports) {
        this.ports = ports;
    }

    /**
     * Creates a client.
     *
     * @param ports where the node listens
     * @return the client
     */
    public static Client of(NodePorts ports) {
        return new Client(ports);
    }

    /**
     * Sends a request.
     *
     * @param method the method
     * @param host the host it names
     * @param path the path
     * @param id its id
     * @param deadlineMillis how long it waits, as it says
     * @return the answer
     * @throws IOException when the node breaks the connection off
     */
    public HttpResponse<String> send(String method, String host, String path, String id, long deadlineMillis)
            throws IOException {
        return send(method, host, path, id, deadlineMillis, Map.of());
    }

    /**
     * Sends a request with further header fields.
     *
     * @param method the method
     * @param host the host it names
     * @param path the path
     * @param id its id
     * @param deadlineMillis how long it waits, as it says
     * @param fields the further fields; each value is sent as a field of its own
     * @return the answer
     * @throws IOException when the node breaks the connection off
     */
    public HttpResponse<String> send(
            String method, String host, String path, String id, long deadlineMillis, Map<String, List<String>> fields)
            throws IOException {
        HttpRequest.BodyPublisher body = method.equals("GET")
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString("body of " + id);
        HttpRequest.Builder request = HttpRequest.newBuilder(uri(ports.entry(), path))
                .method(method, body)
                .header("Host", host)
                .header("X-Request-Id", id)
                .header("X-Deadline-Ms", Long.toString(deadlineMillis))
                .header("X-Caller-Service", "made-up");
        fields.forEach((name, values) -> values.forEach(v -> request.header(name, v)));
        return call(request);
    }

    /**
     * Reports for a server.
     *
     * @param id the server's id
     * @param report what it says
     * @return the status of the answer
     * @throws IOException when the node breaks the connection off
     */
    public int report(String id, String report) throws IOException {
        return call(HttpRequest.newBuilder(uri(ports.announcements(), "/-/instances/" + id))
                        .PUT(HttpRequest.BodyPublishers.ofString(report)))
                .statusCode();
    }

    /**
     * Says for a server that it is gone.
     *
     * @param id the server's id
     * @return the status of the answer
     * @throws IOException when the node breaks the connection off
     */
    public int leave(String id) throws IOException {
        return call(HttpRequest.newBuilder(uri(ports.announcements(), "/-/instances/" + id))
                        .DELETE())
                .statusCode();
    }

    /**
     * Waits until the node is ready.
     *
     * @return whether it became ready in about ten seconds
     */
    public boolean awaitReady() {
        for (int i = 0; i < CONNECT_TRIES; i++) {
            try {
                if (call(HttpRequest.newBuilder(uri(ports.ready(), "/-/readiness")))
                                .statusCode()
                        == OK) {
                    return true;
                }
                Thread.sleep(PAUSE_MILLIS);
            } catch (IOException e) {
                pause();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }

    private HttpResponse<String> call(HttpRequest.Builder request) throws IOException {
        try {
            return http.send(request.timeout(PATIENCE).build(), HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static URI uri(Endpoint endpoint, String path) {
        return URI.create("http://" + endpoint + path);
    }
}
