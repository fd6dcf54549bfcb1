package org.verbenadyke.standins.upstream;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;

import org.verbenadyke.kernel.routing.Endpoint;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/**
 * Stand-in for an upstream, with slots, service time, cold start, load shedding by the upstream itself, failures, large
 * answers, and nested calls to other services through the colocated node.
 */
public final class UpstreamStandIn implements AutoCloseable {
    private static final String CONTEXT_HEADER = "verbenadyke-context";
    private static final String DEADLINE_HEADER = "verbenadyke-deadline-ms";
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String REQUEST_HEADER = "verbenadyke-request";
    private static final String LIMIT_HEADER = "verbenadyke-limit";
    private static final String LEAVING_HEADER = "verbenadyke-leaving";
    private static final int FRAGMENT_BYTES = 16 * 1024;
    private static final HttpResponseStatus NESTED_CALL_FAILED = HttpResponseStatus.of(502, "");
    private static final int MAX_SUCCESS_STATUS = 299;

    private final UpstreamSettings settings;
    private final String start = UUID.randomUUID().toString();
    private final Behaviour behaviour;
    private final ConcurrencyLimit limit;
    private final ArrivalLog arrivals = new ArrivalLog(() -> System.nanoTime() / NANOS_PER_MILLI);
    private final EffectRecorder effects;
    private final HttpClient node;
    private HttpServerContext server;

    private UpstreamStandIn(UpstreamSettings settings) {
        this.settings = settings;
        this.behaviour = new Behaviour(settings);
        this.limit = new ConcurrencyLimit(settings.slots(), settings.queueCapacity());
        this.effects = EffectRecorder.writingTo(settings.effectsLog());
        Endpoint nodeEndpoint = settings.node();
        this.node = HttpClients.forSingleAddress(nodeEndpoint.host(), nodeEndpoint.port())
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                .build();
    }

    /**
     * Starts the stand-in without announcing it to the node.
     *
     * @param settings the behaviour of the stand-in
     * @return the running stand-in
     * @throws Exception if the address can't be bound
     */
    public static UpstreamStandIn start(UpstreamSettings settings) throws Exception {
        UpstreamStandIn upstream = new UpstreamStandIn(settings);
        Endpoint e = settings.listen();
        upstream.server = HttpServers.forAddress(new InetSocketAddress(e.host(), e.port()))
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .listenStreamingAndAwait(upstream::handle);
        return upstream;
    }

    /**
     * Announces the upstream to the colocated node.
     *
     * @return whether the node accepted the announcement
     */
    public boolean announce() {
        String body = "{\"service\":\"" + settings.service() + "\",\"address\":\"" + settings.listen()
                + "\",\"start\":\"" + start + "\"}";
        try {
            return node.request(node.put("/.verbenadyke/upstream").payloadBody(utf8(body)))
                            .toFuture()
                            .get()
                            .status()
                            .code()
                    <= MAX_SUCCESS_STATUS;
        } catch (Exception e) {
            return false;
        }
    }

    /**
     * Notifies the colocated node that the upstream is draining.
     *
     * @throws Exception if the node can't be reached
     */
    public void drain() throws Exception {
        node.request(node.post("/.verbenadyke/upstream/drain")).toFuture().get();
    }

    /**
     * Returns the number of calls that are being executed or queued.
     *
     * @return the number of calls
     */
    public int activeAndQueuedCalls() {
        return limit.activeAndQueued();
    }

    @Override
    public void close() {
        server.closeAsyncGracefully().toFuture();
    }

    private Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        return switch (request.path()) {
            case "/health" ->
                Single.succeeded(textResponse(
                        responses.ok(), "{\"load\":" + behaviour.reportedLoad(limit.activeAndQueued()) + "}"));
            case "/arrivals" ->
                Single.succeeded(textResponse(responses.ok(), String.join("\n", arrivals.violations())));
            case "/switches" -> {
                applySwitches(request);
                yield Single.succeeded(responses.noContent());
            }
            default ->
                request.toRequest()
                        .flatMap(r -> serve(context, r.toStreamingRequest(), responses))
                        .map(r -> addNotices(request, r));
        };
    }

    private Single<StreamingHttpResponse> serve(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        arrivals.arrived(senderOf(request));
        Optional<Completable> slot = limit.acquire();
        if (slot.isEmpty()) {
            return Single.succeeded(responses.serviceUnavailable().setHeader("retry-after", "1"));
        }
        AtomicBoolean slotHeld = new AtomicBoolean(true);
        Runnable release = () -> {
            if (slotHeld.getAndSet(false)) {
                limit.release();
            }
        };
        Executor executor = context.executionContext().executor();
        long remainingMillis = Optional.ofNullable(request.headers().get(DEADLINE_HEADER))
                .map(v -> Long.parseLong(v.toString()))
                .orElse(Long.MAX_VALUE);
        if (remainingMillis < behaviour.serviceMillis()) {
            release.run();
            return Single.succeeded(responses.gatewayTimeout());
        }
        return slot.get()
                .concat(Single.defer(() -> execute(executor, request, responses)))
                .map(r -> r.transformPayloadBody(p -> p.beforeFinally(release)))
                .beforeOnError(e -> release.run())
                .beforeCancel(release);
    }

    private Single<StreamingHttpResponse> execute(
            Executor executor, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        String operation = request.path().substring(1);
        String id = Optional.ofNullable(request.queryParameter("id")).orElse("");
        if (behaviour.drawFailure()) {
            return Single.succeeded(responses.internalServerError());
        }
        Completable effect = operation.equals("filing") || operation.equals("flag")
                ? effects.record(settings.service() + " " + id)
                : Completable.completed();
        return effect.concat(executor.timer(Duration.ofMillis(behaviour.serviceMillis())))
                .concat(Single.defer(() -> callNested(request, operation, id)))
                .map(nestedAnswers -> nestedAnswers.isEmpty()
                        ? responses.newResponse(NESTED_CALL_FAILED)
                        : answer(request, responses, operation, id, nestedAnswers.get()));
    }

    /** Performs the nested calls of an operation one after the other; empty if one of them failed. */
    private Single<Optional<String>> callNested(StreamingHttpRequest request, String operation, String id) {
        List<String> targets = settings.calls().getOrDefault(operation, List.of());
        Single<Optional<String>> result = Single.succeeded(Optional.of(""));
        for (String target : targets) {
            result = result.flatMap(previousAnswers -> previousAnswers.isEmpty()
                    ? Single.succeeded(previousAnswers)
                    : call(request, target, id, previousAnswers.get()));
        }
        return result;
    }

    private Single<Optional<String>> call(
            StreamingHttpRequest request, String target, String id, String previousAnswers) {
        CharSequence context = request.headers().get(CONTEXT_HEADER);
        return node.request(
                        node.get("/" + target + "?id=" + id).setHeader(CONTEXT_HEADER, context == null ? "" : context))
                .map(r -> r.status().code() > MAX_SUCCESS_STATUS
                        ? Optional.<String>empty()
                        : Optional.of(previousAnswers + r.payloadBody().toString(StandardCharsets.UTF_8)))
                .onErrorReturn(e -> Optional.empty());
    }

    private StreamingHttpResponse answer(
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses,
            String operation,
            String id,
            String nestedAnswers) {
        int size = Optional.ofNullable(request.queryParameter("size"))
                .map(Integer::parseInt)
                .orElse(0);
        if (size == 0) {
            return textResponse(
                    responses.ok(), AnswerBodies.textBody(settings.service(), operation, id, nestedAnswers));
        }
        Publisher<Buffer> body =
                Publisher.fromIterable(() -> IntStream.range(0, (size + FRAGMENT_BYTES - 1) / FRAGMENT_BYTES)
                        .mapToObj(i -> DEFAULT_ALLOCATOR.wrap(AnswerBodies.largeBodyPart(
                                id, (long) i * FRAGMENT_BYTES, Math.min(FRAGMENT_BYTES, size - i * FRAGMENT_BYTES))))
                        .iterator());
        return responses.ok().payloadBody(body);
    }

    private void applySwitches(StreamingHttpRequest request) {
        Optional.ofNullable(request.queryParameter("slow")).ifPresent(v -> behaviour.slowdown(Double.parseDouble(v)));
        Optional.ofNullable(request.queryParameter("fail-percent"))
                .ifPresent(v -> behaviour.failPercent(Integer.parseInt(v)));
        Optional.ofNullable(request.queryParameter("load"))
                .ifPresent(v -> behaviour.overrideLoad(Double.parseDouble(v)));
        if (request.hasQueryParameter("limit") || request.hasQueryParameter("leaving")) {
            Map<String, String> notices = new HashMap<>();
            putIfSet(notices, LIMIT_HEADER, request.queryParameter("limit"));
            putIfSet(notices, LEAVING_HEADER, request.queryParameter("leaving"));
            behaviour.stateInAnswers(notices);
            arrivals.limit(Optional.ofNullable(notices.get(LIMIT_HEADER))
                    .map(Double::parseDouble)
                    .orElse(Double.POSITIVE_INFINITY));
        }
    }

    private StreamingHttpResponse addNotices(StreamingHttpRequest request, StreamingHttpResponse response) {
        behaviour.notices().forEach(response::setHeader);
        arrivals.answered(senderOf(request));
        return response;
    }

    /** Returns the incarnation of the node where the chain of a request began. */
    private static String senderOf(StreamingHttpRequest request) {
        CharSequence id = request.headers().get(REQUEST_HEADER);
        return id == null ? "" : id.toString().split("-")[0];
    }

    private static void putIfSet(Map<String, String> notices, String name, String value) {
        if (value != null && !value.isEmpty()) {
            notices.put(name, value);
        }
    }

    private static StreamingHttpResponse textResponse(StreamingHttpResponse response, String body) {
        return response.payloadBody(Publisher.from(utf8(body)));
    }

    private static Buffer utf8(String text) {
        return DEFAULT_ALLOCATOR.fromUtf8(text);
    }
}
