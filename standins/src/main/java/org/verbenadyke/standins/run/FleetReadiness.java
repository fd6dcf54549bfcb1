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
 * Finds out whether every node of a fleet knows an upstream beside every other. On a busy machine an upstream may
 * announce itself some seconds late; a fleet that loses the only one known of its service till then serves nothing.
 */
final class FleetReadiness {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration ANSWER_MOST = Duration.ofSeconds(2);
    private static final long PAUSE_MILLIS = 200;

    /** How often it looks: half a minute, three times the longest delay seen. */
    private static final int LOOKS_MOST = 150;

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<Server> servers;

    private FleetReadiness(List<Server> servers) {
        this.servers = servers;
    }

    static FleetReadiness of(List<Server> servers) {
        return new FleetReadiness(servers);
    }

    /** Waits until every node knows every upstream; false when that takes too long. */
    boolean await() throws InterruptedException {
        for (int i = 0; i < LOOKS_MOST; i++) {
            if (allKnown()) {
                return true;
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        return false;
    }

    /** Counts the members of a status that have an upstream which takes work. */
    static int serving(JsonNode status) {
        int count = 0;
        for (JsonNode m : status.path("members")) {
            boolean alive = m.path("state").asText().equals("alive");
            count += alive && !m.path("service").asText().isEmpty() ? 1 : 0;
        }
        return count;
    }

    private boolean allKnown() throws InterruptedException {
        for (Server s : servers) {
            if (known(s) < servers.size()) {
                return false;
            }
        }
        return true;
    }

    private int known(Server server) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.control() + "/status"))
                .timeout(ANSWER_MOST)
                .build();
        try {
            return serving(JSON.readTree(
                    http.send(request, HttpResponse.BodyHandlers.ofString()).body()));
        } catch (IOException e) {
            System.out.println(server.id() + " does not tell its status yet: " + e.getMessage());
            return 0;
        }
    }
}
