package org.verbenadyke.node.control;

import java.nio.charset.StandardCharsets;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.core.NodeCore;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.node.http.HttpUpstream;
import org.verbenadyke.node.settings.IniReader;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.transport.api.IoExecutor;

/**
 * Serves the upstream beside the node: its announcement, its drain and its calls to other services.
 */
public final class LocalService implements StreamingHttpService {
    /** Where the upstream announces itself: PUT with service and address. */
    public static final String UPSTREAM_PATH = "/.verbenadyke/upstream";

    /** Where the upstream says that it is leaving: POST; the answer tells how many calls it still has. */
    public static final String DRAIN_PATH = "/.verbenadyke/upstream/drain";

    private static final Logger LOG = LogManager.getLogger("upstream");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final StreamingHttpService calls;
    private final NodeCore core;
    private final IoExecutor executor;

    private LocalService(StreamingHttpService calls, NodeCore core, IoExecutor executor) {
        this.calls = calls;
        this.core = core;
        this.executor = executor;
    }

    /**
     * Creates the service.
     *
     * @param calls takes the upstream's calls to other services
     * @param core makes the upstream known
     * @param executor the threads that serve connections
     * @return the service
     */
    public static LocalService of(StreamingHttpService calls, NodeCore core, IoExecutor executor) {
        return new LocalService(calls, core, executor);
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        return switch (request.path()) {
            case UPSTREAM_PATH -> announce(request, responses);
            case DRAIN_PATH -> drain(responses);
            default -> calls.handle(context, request, responses);
        };
    }

    private Single<StreamingHttpResponse> announce(
            StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        return request.toRequest()
                .map(r -> {
                    JsonNode node = parse(r.payloadBody().toString(StandardCharsets.UTF_8));
                    String service = node.path("service").asText();
                    Endpoint address =
                            IniReader.parseEndpoint(node.path("address").asText());
                    core.attachUpstream(service, HttpUpstream.to(address, executor));
                    LOG.info("The upstream announced itself for {}.", service);
                    return responses.noContent();
                })
                .onErrorReturn(IllegalArgumentException.class, e -> responses.badRequest());
    }

    private Single<StreamingHttpResponse> drain(StreamingHttpResponseFactory responses) {
        core.drain();
        LOG.info("The upstream is draining.");
        return Single.succeeded(
                responses.ok().setHeader("verbenadyke-unfinished", "" + core.unfinishedUpstreamCalls()));
    }

    private static JsonNode parse(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
