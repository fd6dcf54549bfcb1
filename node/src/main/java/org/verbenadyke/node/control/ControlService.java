package org.verbenadyke.node.control;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

import org.verbenadyke.kernel.core.NodeCore;
import org.verbenadyke.kernel.metrics.Counters;
import org.verbenadyke.node.metrics.MetricsText;
import org.verbenadyke.node.settings.NodeSettings;

import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;

/**
 * The HTTP API for operators: status, metrics, plans and confirmations.
 */
public final class ControlService implements StreamingHttpService {
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; version=0.0.4";

    private final StatusReport status;
    private final MetricsText metrics;
    private final ConfigurationService configuration;

    private ControlService(StatusReport status, MetricsText metrics, ConfigurationService configuration) {
        this.status = status;
        this.metrics = metrics;
        this.configuration = configuration;
    }

    /**
     * Creates the service.
     *
     * @param settings the node's settings
     * @param core the decision logic
     * @param counters the node's counters
     * @return the service
     */
    public static ControlService of(NodeSettings settings, NodeCore core, Counters counters) {
        return new ControlService(
                StatusReport.of(settings, core, counters),
                MetricsText.of(core, counters),
                ConfigurationService.of(core));
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        return switch (request.path()) {
            case "/status" -> Single.succeeded(respond(context, responses, JSON, status.json()));
            case "/metrics" -> Single.succeeded(respond(context, responses, TEXT, metrics.text()));
            case "/history" -> Single.succeeded(respond(context, responses, JSON, configuration.history()));
            case "/show" ->
                respondWhenDone(
                        context,
                        responses,
                        callback -> configuration.show(numberParameter(request, "version", -1), callback));
            case "/undo" ->
                respondWhenDone(
                        context,
                        responses,
                        callback -> configuration.undo(numberParameter(request, "version", 0), callback));
            case "/plan" ->
                readBody(request)
                        .flatMap(b -> Single.succeeded(respond(context, responses, JSON, configuration.plan(b))));
            case "/confirm" ->
                readBody(request)
                        .flatMap(b ->
                                respondWhenDone(context, responses, callback -> configuration.confirm(b, callback)));
            default -> Single.succeeded(responses.notFound());
        };
    }

    private static Single<String> readBody(StreamingHttpRequest request) {
        return request.toRequest().map(r -> r.payloadBody().toString(StandardCharsets.UTF_8));
    }

    private static long numberParameter(StreamingHttpRequest request, String name, long defaultValue) {
        return Optional.ofNullable(request.queryParameter(name))
                .filter(v -> v.matches("[0-9]{1,18}"))
                .map(Long::parseLong)
                .orElse(defaultValue);
    }

    private static Single<StreamingHttpResponse> respondWhenDone(
            HttpServiceContext context, StreamingHttpResponseFactory responses, Consumer<Consumer<String>> work) {
        SingleSource.Processor<String, String> result = Processors.newSingleProcessor();
        work.accept(result::onSuccess);
        return SourceAdapters.fromSource(result).map(r -> respond(context, responses, JSON, r));
    }

    private static StreamingHttpResponse respond(
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
