package org.verbenadyke.standins.run;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Waits until every node of a fleet knows the upstreams of all nodes. On a busy machine an upstream may announce itself
 * some seconds late; if the only known upstream of a service is lost before then, the service can't serve any request.
 */
final class FleetReadiness {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);
    private static final long POLL_INTERVAL_MILLIS = 200;

    /** Half a minute of polls, three times the longest announcement delay seen. */
    private static final int MAX_POLLS = 150;

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<Server> servers;

    private FleetReadiness(List<Server> servers) {
        this.servers = servers;
    }

    static FleetReadiness of(List<Server> servers) {
        return new FleetReadiness(servers);
    }

    /** Waits until every node knows every upstream; false on timeout. */
    boolean await() throws InterruptedException {
        for (int i = 0; i < MAX_POLLS; i++) {
            if (everyNodeKnowsAllUpstreams()) {
                return true;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        return false;
    }

    /** Counts the members in a status document whose upstream accepts calls. */
    static int countServing(JsonNode status) {
        int count = 0;
        for (JsonNode m : status.path("members")) {
            boolean alive = m.path("state").asText().equals("alive");
            count += alive && !m.path("service").asText().isEmpty() ? 1 : 0;
        }
        return count;
    }

    private boolean everyNodeKnowsAllUpstreams() throws InterruptedException {
        for (Server s : servers) {
            if (countKnownUpstreams(s) < servers.size()) {
                return false;
            }
        }
        return true;
    }

    private int countKnownUpstreams(Server server) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.control() + "/status"))
                .timeout(RESPONSE_TIMEOUT)
                .build();
        try {
            return countServing(JSON.readTree(
                    http.send(request, HttpResponse.BodyHandlers.ofString()).body()));
        } catch (IOException e) {
            System.out.println(server.id() + " doesn't report its status yet: " + e.getMessage());
            return 0;
        }
    }
}
