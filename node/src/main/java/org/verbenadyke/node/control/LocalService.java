package org.verbenadyke.node.control;

import java.nio.charset.StandardCharsets;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.verbenadyke.kernel.core.NodeCore;
import org.verbenadyke.kernel.core.UpstreamRegistration;
import org.verbenadyke.kernel.notice.StartNotices;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Rendezvous;
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
 * The HTTP API for the upstream that the node is colocated with: its registration, its drain and its calls to other
 * services.
 */
public final class LocalService implements StreamingHttpService {
    /** The path at which the upstream registers itself: PUT with service and address. */
    public static final String UPSTREAM_PATH = "/.verbenadyke/upstream";

    /** The path at which the upstream starts to drain: POST; the answer contains its number of unfinished calls. */
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
     * @param calls handles the upstream's calls to other services
     * @param core announces the upstream to other nodes
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
                    core.attachUpstream(
                            UpstreamRegistration.of(service, HttpUpstream.to(address, executor, core::upstreamCrashed))
                                    .withStart(startOf(node)));
                    LOG.info("The upstream registered for service {}.", service);
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

    /** Returns a number that identifies the start of the upstream, if the registration tells one start from another. */
    private static long startOf(JsonNode registration) {
        String start = registration.path("start").asText();
        return start.isEmpty() ? StartNotices.UNKNOWN_START : Rendezvous.hash(start, "");
    }

    private static JsonNode parse(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
