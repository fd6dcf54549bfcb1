package org.verbenadyke.cli;

import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.settings.IniReader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;

/**
 * Talks to the control address of one node.
 */
final class ControlClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration PATIENCE = Duration.ofSeconds(10);

    private final Endpoint node;

    private ControlClient(Endpoint node) {
        this.node = node;
    }

    static ControlClient at(String address) {
        return new ControlClient(IniReader.parseEndpoint(address));
    }

    JsonNode get(String path) {
        try (HttpClient client =
                HttpClients.forSingleAddress(node.host(), node.port()).build()) {
            HttpResponse response = client.request(client.get(path))
                    .timeout(PATIENCE)
                    .toFuture()
                    .get();
            return JSON.readTree(response.payloadBody().toString(StandardCharsets.UTF_8));
        } catch (Exception e) {
            throw VerbenadykeException.of(ErrorCode.NODE_UNREACHABLE, node, e.getMessage());
        }
    }
}
