package org.verbenadyke.standins.log;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenadyke.kernel.routing.Endpoint;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpServers;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/**
 * Stand-in for the platform's log service: append, read with a long poll, limited retention, and injected faults
 * (outage, slowness, answers lost after the append took effect). The effects stream represents the upstreams' database,
 * so outage and slowness don't apply to that stream.
 */
public final class LogStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String STREAMS_PATH = "/streams/";
    private static final String EFFECTS_PATH = STREAMS_PATH + "effects";
    private static final int MAX_RECORDS_PER_READ = 1_000;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

    private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
    private final LogFaults faults = new LogFaults();
    private HttpServerContext server;

    private LogStandIn() {}

    /**
     * Starts the stand-in.
     *
     * @param endpoint the address to listen on
     * @return the running stand-in
     * @throws Exception if the address can't be bound
     */
    public static LogStandIn start(Endpoint endpoint) throws Exception {
        LogStandIn log = new LogStandIn();
        log.server = HttpServers.forAddress(new InetSocketAddress(endpoint.host(), endpoint.port()))
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .listenAndAwait(log::handle);
        return log;
    }

    @Override
    public void close() {
        server.closeAsync().toFuture();
    }

    private Single<HttpResponse> handle(
            HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
        if (request.path().equals("/switches")) {
            applyFaults(request);
            return Single.succeeded(responses.noContent());
        }
        if (!request.path().startsWith(STREAMS_PATH)) {
            return Single.succeeded(responses.notFound());
        }
        boolean effectsStream = request.path().equals(EFFECTS_PATH);
        if (faults.outage() && !effectsStream) {
            return Single.succeeded(responses.serviceUnavailable());
        }
        LogStream stream =
                streams.computeIfAbsent(request.path().substring(STREAMS_PATH.length()), n -> new LogStream());
        Executor executor = context.executionContext().executor();
        Single<HttpResponse> answer = request.method().equals(HttpRequestMethod.POST)
                ? append(stream, request, responses)
                : read(stream, request, responses, executor);
        long delayMillis = effectsStream ? 0 : faults.slowMillis();
        return delayMillis == 0
                ? answer
                : executor.timer(Duration.ofMillis(delayMillis)).concat(answer);
    }

    private Single<HttpResponse> append(LogStream stream, HttpRequest request, HttpResponseFactory responses) {
        byte[] bytes = new byte[request.payloadBody().readableBytes()];
        request.payloadBody().readBytes(bytes);
        long offset = stream.append(bytes, System.currentTimeMillis());
        stream.retain(0, faults.retention());
        if (faults.consumeLostAnswer()) {
            return Single.never();
        }
        return Single.succeeded(jsonResponse(responses, JSON.createObjectNode().put("offset", offset)));
    }

    private Single<HttpResponse> read(
            LogStream stream, HttpRequest request, HttpResponseFactory responses, Executor executor) {
        long from = longParameter(request, "from");
        long deadlineMillis = System.currentTimeMillis() + longParameter(request, "wait");
        return poll(stream, from, deadlineMillis, responses, executor);
    }

    private Single<HttpResponse> poll(
            LogStream stream, long from, long deadlineMillis, HttpResponseFactory responses, Executor executor) {
        List<LogStream.StoredRecord> batch = stream.readFrom(from, MAX_RECORDS_PER_READ);
        if (!batch.isEmpty() || System.currentTimeMillis() >= deadlineMillis) {
            return Single.succeeded(jsonResponse(responses, toJson(stream, from, batch)));
        }
        if (faults.outage()) {
            return Single.succeeded(responses.serviceUnavailable());
        }
        return executor.timer(POLL_INTERVAL)
                .concat(Single.defer(() -> poll(stream, from, deadlineMillis, responses, executor)));
    }

    private static ObjectNode toJson(LogStream stream, long from, List<LogStream.StoredRecord> batch) {
        ObjectNode node = JSON.createObjectNode();
        node.put("first", stream.firstOffset());
        node.put(
                "next",
                batch.isEmpty()
                        ? Math.max(from, stream.firstOffset())
                        : batch.getLast().offset() + 1);
        ArrayNode records = node.putArray("records");
        for (LogStream.StoredRecord r : batch) {
            records.addObject()
                    .put("offset", r.offset())
                    .put("data", Base64.getEncoder().encodeToString(r.bytes()));
        }
        return node;
    }

    private void applyFaults(HttpRequest request) {
        queryParameter(request, "outage").ifPresent(v -> faults.outage(Boolean.parseBoolean(v)));
        queryParameter(request, "slow-ms").ifPresent(v -> faults.slowMillis(Long.parseLong(v)));
        queryParameter(request, "retention").ifPresent(v -> faults.retention(Integer.parseInt(v)));
        queryParameter(request, "lose").ifPresent(v -> faults.loseAnswers(Integer.parseInt(v)));
    }

    private static long longParameter(HttpRequest request, String name) {
        return queryParameter(request, name).map(Long::parseLong).orElse(0L);
    }

    private static Optional<String> queryParameter(HttpRequest request, String name) {
        return Optional.ofNullable(request.queryParameter(name));
    }

    private static HttpResponse jsonResponse(HttpResponseFactory responses, ObjectNode node) {
        HttpResponse response = responses.ok();
        byte[] bytes = node.toString().getBytes(StandardCharsets.UTF_8);
        return response.payloadBody(DEFAULT_ALLOCATOR.wrap(bytes));
    }
}
