package org.verbenadyke.node.control;

import java.nio.charset.StandardCharsets;

import org.verbenadyke.kernel.engine.Engine;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.node.Membership;
import org.verbenadyke.node.settings.NodeSettings;

import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;

/**
 * Serves the operators: the node's status and its metrics.
 */
public final class ControlService implements StreamingHttpService {
    private final StatusReport status;

    private ControlService(StatusReport status) {
        this.status = status;
    }

    /**
     * Creates the service.
     *
     * @param settings the node's settings
     * @param engine the request path
     * @param counters the node's counters
     * @param membership the known members
     * @return the service
     */
    public static ControlService of(NodeSettings settings, Engine engine, Counters counters, Membership membership) {
        return new ControlService(StatusReport.of(settings, engine, counters, membership));
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        return Single.succeeded(
                switch (request.path()) {
                    case "/status" -> text(context, responses, "application/json", status.json());
                    default -> responses.notFound();
                });
    }

    private static StreamingHttpResponse text(
            HttpServiceContext context, StreamingHttpResponseFactory responses, String type, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return responses
                .ok()
                .setHeader("content-type", type)
                .setHeader("content-length", Integer.toString(bytes.length))
                .payloadBody(Publisher.from(
                        context.executionContext().bufferAllocator().wrap(bytes)));
    }
}
