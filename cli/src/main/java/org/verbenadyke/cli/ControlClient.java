package org.verbenadyke.cli;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutionException;

import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.control.PlanJson;
import org.verbenadyke.node.settings.IniReader;

import com.fasterxml.jackson.databind.JsonNode;

import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;

/**
 * A client of one node's control API.
 */
final class ControlClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final Endpoint node;

    private ControlClient(Endpoint node) {
        this.node = node;
    }

    static ControlClient at(String address) {
        try {
            return new ControlClient(IniReader.parseEndpoint(address));
        } catch (IllegalArgumentException e) {
            throw VerbenadykeException.of(ErrorCode.NODE_UNREACHABLE, address, "not IP:PORT");
        }
    }

    JsonNode get(String path) {
        return send(client -> client.get(path));
    }

    JsonNode post(String path, String body) {
        return send(client -> client.post(path)
                .payloadBody(client.executionContext().bufferAllocator().fromUtf8(body)));
    }

    private JsonNode send(RequestFactory factory) {
        HttpClient client =
                HttpClients.forSingleAddress(node.host(), node.port()).build();
        try {
            HttpResponse response = client.request(factory.create(client))
                    .timeout(TIMEOUT)
                    .toFuture()
                    .get();
            return PlanJson.parse(response.payloadBody().toString(StandardCharsets.UTF_8));
        } catch (ExecutionException | InterruptedException e) {
            throw VerbenadykeException.of(ErrorCode.NODE_UNREACHABLE, node, e.getMessage());
        } finally {
            client.closeAsync().subscribe();
        }
    }

    /**
     * Creates the request to send.
     */
    @FunctionalInterface
    private interface RequestFactory {
        HttpRequest create(HttpClient client);
    }
}
