package org.verbenadyke.standins.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.verbenadyke.kernel.routing.Endpoint;

/**
 * HTTP client of a node under test: sends callers' requests and, on behalf of servers, their announcements.
 */
public final class Client {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;
    private static final int DOWNLOAD_PART_BYTES = 64 * 1024;
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final int MAX_READY_POLLS = 200;
    private static final long POLL_INTERVAL_MILLIS = 50;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final NodePorts ports;

    private Client(NodePorts ports) {
        this.ports = ports;
    }

    /**
     * Creates a client.
     *
     * @param ports the node's listening addresses
     * @return the client
     */
    public static Client of(NodePorts ports) {
        return new Client(ports);
    }

    /**
     * Sends a request.
     *
     * @param method the HTTP method
     * @param host the value of the Host header
     * @param path the path
     * @param id the request id
     * @param deadlineMillis the deadline that the request declares, in milliseconds
     * @return the answer
     * @throws IOException if the node aborts the connection
     */
    public HttpResponse<String> send(String method, String host, String path, String id, long deadlineMillis)
            throws IOException {
        return send(method, host, path, id, deadlineMillis, Map.of());
    }

    /**
     * Sends a request with further header fields.
     *
     * @param method the HTTP method
     * @param host the value of the Host header
     * @param path the path
     * @param id the request id
     * @param deadlineMillis the deadline that the request declares, in milliseconds
     * @param fields the further fields; each value is sent as a separate field
     * @return the answer
     * @throws IOException if the node aborts the connection
     */
    public HttpResponse<String> send(
            String method, String host, String path, String id, long deadlineMillis, Map<String, List<String>> fields)
            throws IOException {
        HttpRequest.BodyPublisher body = method.equals("GET")
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString("body of " + id);
        HttpRequest.Builder request = request(host, path, id, deadlineMillis).method(method, body);
        fields.forEach((name, values) -> values.forEach(v -> request.header(name, v)));
        return call(request);
    }

    /**
     * Uploads a body.
     *
     * @param path the path at the host of upload routes, {@link Documents#UPLOAD_HOST}
     * @param id the request id
     * @param deadlineMillis the deadline that the request declares, in milliseconds
     * @param body the body
     * @return the answer
     * @throws IOException if the node aborts the connection
     */
    public HttpResponse<String> upload(String path, String id, long deadlineMillis, byte[] body) throws IOException {
        return call(request(Documents.UPLOAD_HOST, path, id, deadlineMillis)
                .POST(HttpRequest.BodyPublishers.ofByteArray(body)));
    }

    /**
     * Downloads an answer, and reads it at a pace.
     *
     * @param path the path at {@code read.example}
     * @param id the request id
     * @param deadlineMillis the deadline that the request declares, in milliseconds
     * @param pauseMillis the pause after each part of 64 KB at most, in milliseconds
     * @return the body
     * @throws IOException if the node aborts the connection, or nothing arrives for ten seconds
     */
    public byte[] download(String path, String id, long deadlineMillis, long pauseMillis) throws IOException {
        try (Socket socket = new Socket(ports.entry().host(), ports.entry().port())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            write(socket, path, id, deadlineMillis);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            byte[] part = new byte[DOWNLOAD_PART_BYTES];
            for (int n = socket.getInputStream().read(part);
                    n >= 0;
                    n = socket.getInputStream().read(part)) {
                all.write(part, 0, n);
                Thread.sleep(pauseMillis);
            }
            String text = all.toString(StandardCharsets.ISO_8859_1);
            return Arrays.copyOfRange(all.toByteArray(), text.indexOf(END_OF_HEAD) + END_OF_HEAD.length(), all.size());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /**
     * Sends a request at {@code read.example}, and closes the connection without reading the answer.
     *
     * @param path the path
     * @param id the request id
     * @param deadlineMillis the deadline that the request declares, in milliseconds
     * @param patienceMillis the time until the connection is closed, in milliseconds
     * @throws IOException if the node aborts the connection
     */
    public void sendAndLeave(String path, String id, long deadlineMillis, long patienceMillis) throws IOException {
        try (Socket socket = new Socket(ports.entry().host(), ports.entry().port())) {
            write(socket, path, id, deadlineMillis);
            Thread.sleep(patienceMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /**
     * Sends a report on behalf of a server.
     *
     * @param id the server's id
     * @param report the report document
     * @return the status of the answer
     * @throws IOException if the node aborts the connection
     */
    public int report(String id, String report) throws IOException {
        return call(HttpRequest.newBuilder(uri(ports.announcements(), "/-/instances/" + id))
                        .PUT(HttpRequest.BodyPublishers.ofString(report)))
                .statusCode();
    }

    /**
     * Deregisters a server on its behalf.
     *
     * @param id the server's id
     * @return the status of the answer
     * @throws IOException if the node aborts the connection
     */
    public int deregister(String id) throws IOException {
        return call(HttpRequest.newBuilder(uri(ports.announcements(), "/-/instances/" + id))
                        .DELETE())
                .statusCode();
    }

    /**
     * Deregisters one start of a server on its behalf.
     *
     * @param id the server's id
     * @param startedMillis when the server started, in milliseconds since the epoch
     * @return the status of the answer
     * @throws IOException if the node aborts the connection
     */
    public int deregister(String id, long startedMillis) throws IOException {
        return call(HttpRequest.newBuilder(uri(ports.announcements(), "/-/instances/" + id))
                        .method("DELETE", HttpRequest.BodyPublishers.ofString("{\"born\":" + startedMillis + "}")))
                .statusCode();
    }

    /**
     * Waits until the node is ready.
     *
     * @return whether the node became ready within about ten seconds
     */
    public boolean awaitReady() {
        for (int i = 0; i < MAX_READY_POLLS; i++) {
            try {
                if (call(HttpRequest.newBuilder(uri(ports.ready(), "/-/readiness")))
                                .statusCode()
                        == OK) {
                    return true;
                }
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (IOException e) {
                sleepBetweenPolls();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }

    private static void write(Socket socket, String path, String id, long deadlineMillis) throws IOException {
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: read.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                                + deadlineMillis + "\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private HttpRequest.Builder request(String host, String path, String id, long deadlineMillis) {
        return HttpRequest.newBuilder(uri(ports.entry(), path))
                .header("Host", host)
                .header("X-Request-Id", id)
                .header("X-Deadline-Ms", Long.toString(deadlineMillis))
                .header("X-Caller-Service", "made-up");
    }

    private HttpResponse<String> call(HttpRequest.Builder request) throws IOException {
        try {
            return http.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private static void sleepBetweenPolls() {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static URI uri(Endpoint endpoint, String path) {
        return URI.create("http://" + endpoint + path);
    }
}
