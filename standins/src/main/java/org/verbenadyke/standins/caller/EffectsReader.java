package org.verbenadyke.standins.caller;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;

import org.verbenadyke.kernel.routing.Endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.netty.HttpClients;

/**
 * Counts the executions of each filing or flag, from the stream that represents the upstreams' database.
 */
public final class EffectsReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private EffectsReader() {}

    /**
     * Reads all recorded effects.
     *
     * @param log the address of the stand-in log
     * @return the number of executions by request id
     * @throws Exception if the log can't be read
     */
    public static Map<String, Integer> executionCounts(Endpoint log) throws Exception {
        Map<String, Integer> runs = new HashMap<>();
        try (BlockingHttpClient client =
                HttpClients.forSingleAddress(log.host(), log.port()).buildBlocking()) {
            long nextOffset = 0;
            JsonNode batch;
            do {
                String body = client.request(client.get("/streams/effects?from=" + nextOffset))
                        .payloadBody()
                        .toString(StandardCharsets.UTF_8);
                batch = JSON.readTree(body);
                nextOffset = batch.path("next").asLong();
                for (JsonNode r : batch.path("records")) {
                    String effect =
                            new String(Base64.getDecoder().decode(r.path("data").asText()), StandardCharsets.UTF_8);
                    runs.merge(effect.substring(effect.indexOf(' ') + 1), 1, Integer::sum);
                }
            } while (!batch.path("records").isEmpty());
        }
        return runs;
    }
}
