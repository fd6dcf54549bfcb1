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
 * Stands in for the platform's log service: append, read with a long poll, limited retention, and switches for outage,
 * slowness and answers lost after the append took effect. The stream of effects stands for the upstreams' database and
 * is spared.
 */
public final class LogStandIn implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String STREAMS = "/streams/";
    private static final String EFFECTS = STREAMS + "effects";
    private static final int BATCH = 1_000;
    private static final Duration POLL = Duration.ofMillis(10);

    private final Map<String, LogStream> streams = new ConcurrentHashMap<>();
    private final LogSwitches switches = new LogSwitches();
    private HttpServerContext server;

    private LogStandIn() {}

    /**
     * Starts the stand-in.
     *
     * @param endpoint where it listens
     * @return the running stand-in
     * @throws Exception when it can't listen
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

    private Single<HttpResponse> handle(HttpServiceContext context, HttpRequest request, HttpResponseFactory answers) {
        if (request.path().equals("/switches")) {
            set(request);
            return Single.succeeded(answers.noContent());
        }
        if (!request.path().startsWith(STREAMS)) {
            return Single.succeeded(answers.notFound());
        }
        boolean database = request.path().equals(EFFECTS);
        if (switches.outage() && !database) {
            return Single.succeeded(answers.serviceUnavailable());
        }
        LogStream stream = streams.computeIfAbsent(request.path().substring(STREAMS.length()), n -> new LogStream());
        Executor executor = context.executionContext().executor();
        Single<HttpResponse> answer = request.method().equals(HttpRequestMethod.POST)
                ? append(stream, request, answers)
                : read(stream, request, answers, executor);
        long slow = database ? 0 : switches.slowMillis();
        return slow == 0 ? answer : executor.timer(Duration.ofMillis(slow)).concat(answer);
    }

    private Single<HttpResponse> append(LogStream stream, HttpRequest request, HttpResponseFactory answers) {
        byte[] bytes = new byte[request.payloadBody().readableBytes()];
        request.payloadBody().readBytes(bytes);
        long offset = stream.append(bytes, System.currentTimeMillis());
        stream.retain(0, switches.retention());
        if (switches.loseThisAnswer()) {
            return Single.never();
        }
        return Single.succeeded(json(answers, JSON.createObjectNode().put("offset", offset)));
    }

    private Single<HttpResponse> read(
            LogStream stream, HttpRequest request, HttpResponseFactory answers, Executor executor) {
        long from = number(request, "from");
        long until = System.currentTimeMillis() + number(request, "wait");
        return poll(stream, from, until, answers, executor);
    }

    private Single<HttpResponse> poll(
            LogStream stream, long from, long until, HttpResponseFactory answers, Executor executor) {
        List<LogStream.Stored> found = stream.from(from, BATCH);
        if (!found.isEmpty() || System.currentTimeMillis() >= until) {
            return Single.succeeded(json(answers, batch(stream, from, found)));
        }
        if (switches.outage()) {
            return Single.succeeded(answers.serviceUnavailable());
        }
        return executor.timer(POLL).concat(Single.defer(() -> poll(stream, from, until, answers, executor)));
    }

    private static ObjectNode batch(LogStream stream, long from, List<LogStream.Stored> found) {
        ObjectNode node = JSON.createObjectNode();
        node.put("first", stream.first());
        node.put(
                "next",
                found.isEmpty()
                        ? Math.max(from, stream.first())
                        : found.getLast().offset() + 1);
        ArrayNode records = node.putArray("records");
        for (LogStream.Stored r : found) {
            records.addObject()
                    .put("offset", r.offset())
                    .put("data", Base64.getEncoder().encodeToString(r.bytes()));
        }
        return node;
    }

    private void set(HttpRequest request) {
        parameter(request, "outage").ifPresent(v -> switches.outage(Boolean.parseBoolean(v)));
        parameter(request, "slow-ms").ifPresent(v -> switches.slowMillis(Long.parseLong(v)));
        parameter(request, "retention").ifPresent(v -> switches.retention(Integer.parseInt(v)));
        parameter(request, "lose").ifPresent(v -> switches.loseAnswers(Integer.parseInt(v)));
    }

    private static long number(HttpRequest request, String name) {
        return parameter(request, name).map(Long::parseLong).orElse(0L);
    }

    private static Optional<String> parameter(HttpRequest request, String name) {
        return Optional.ofNullable(request.queryParameter(name));
    }

    private static HttpResponse json(HttpResponseFactory answers, ObjectNode node) {
        HttpResponse response = answers.ok();
        byte[] bytes = node.toString().getBytes(StandardCharsets.UTF_8);
        return response.payloadBody(DEFAULT_ALLOCATOR.wrap(bytes));
    }
}
