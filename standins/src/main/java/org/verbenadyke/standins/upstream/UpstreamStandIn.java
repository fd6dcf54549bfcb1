package org.verbenadyke.standins.upstream;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
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
 * Stands in for an upstream: slots, service time, cold start, its own sheds, failures, large answers, and calls to
 * other services through the node beside it.
 */
public final class UpstreamStandIn implements AutoCloseable {
    private static final String CONTEXT = "verbenadyke-context";
    private static final String DEADLINE = "verbenadyke-deadline-ms";
    private static final int FRAGMENT = 16 * 1024;
    private static final HttpResponseStatus BELOW_FAILED = HttpResponseStatus.of(502, "");
    private static final int OK_MOST = 299;

    private final UpstreamSettings settings;
    private final Behaviour behaviour;
    private final Slots slots;
    private final Effects effects;
    private final HttpClient node;
    private HttpServerContext server;

    private UpstreamStandIn(UpstreamSettings settings) {
        this.settings = settings;
        this.behaviour = new Behaviour(settings);
        this.slots = new Slots(settings.slots(), settings.queue());
        this.effects = Effects.to(settings.effects());
        Endpoint n = settings.node();
        this.node = HttpClients.forSingleAddress(n.host(), n.port())
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                .build();
    }

    /**
     * Starts the stand-in; it does not announce itself yet.
     *
     * @param settings how it behaves
     * @return the running stand-in
     * @throws Exception when it can't listen
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
     * Announces itself to the node beside it.
     *
     * @return whether the node took it
     */
    public boolean announce() {
        String body = "{\"service\":\"" + settings.service() + "\",\"address\":\"" + settings.listen() + "\"}";
        try {
            return node.request(node.put("/.verbenadyke/upstream").payloadBody(buffer(body)))
                            .toFuture()
                            .get()
                            .status()
                            .code()
                    <= OK_MOST;
        } catch (Exception e) {
            return false;
        }
    }

    /**
     * Tells the node beside it that it is leaving.
     *
     * @throws Exception when the node can't be told
     */
    public void drain() throws Exception {
        node.request(node.post("/.verbenadyke/upstream/drain")).toFuture().get();
    }

    /**
     * Returns the load.
     *
     * @return calls in work and waiting
     */
    public int load() {
        return slots.load();
    }

    @Override
    public void close() {
        server.closeAsyncGracefully().toFuture();
    }

    private Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory answers) {
        return switch (request.path()) {
            case "/health" -> Single.succeeded(text(answers.ok(), "{\"load\":" + behaviour.load(slots.load()) + "}"));
            case "/switches" -> {
                set(request);
                yield Single.succeeded(answers.noContent());
            }
            default -> request.toRequest().flatMap(r -> serve(context, r.toStreamingRequest(), answers));
        };
    }

    private Single<StreamingHttpResponse> serve(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory answers) {
        Optional<Completable> turn = slots.acquire();
        if (turn.isEmpty()) {
            return Single.succeeded(answers.serviceUnavailable().setHeader("retry-after", "1"));
        }
        AtomicBoolean held = new AtomicBoolean(true);
        Runnable release = () -> {
            if (held.getAndSet(false)) {
                slots.release();
            }
        };
        Executor executor = context.executionContext().executor();
        long left = Optional.ofNullable(request.headers().get(DEADLINE))
                .map(v -> Long.parseLong(v.toString()))
                .orElse(Long.MAX_VALUE);
        if (left < behaviour.serviceMillis()) {
            release.run();
            return Single.succeeded(answers.gatewayTimeout());
        }
        return turn.get()
                .concat(Single.defer(() -> work(executor, request, answers)))
                .map(r -> r.transformPayloadBody(p -> p.beforeFinally(release)))
                .beforeOnError(e -> release.run())
                .beforeCancel(release);
    }

    private Single<StreamingHttpResponse> work(
            Executor executor, StreamingHttpRequest request, StreamingHttpResponseFactory answers) {
        String operation = request.path().substring(1);
        String id = Optional.ofNullable(request.queryParameter("id")).orElse("");
        if (behaviour.failsNow()) {
            return Single.succeeded(answers.internalServerError());
        }
        Completable effect = operation.equals("filing") || operation.equals("flag")
                ? effects.record(settings.service() + " " + id)
                : Completable.completed();
        return effect.concat(executor.timer(Duration.ofMillis(behaviour.serviceMillis())))
                .concat(Single.defer(() -> below(request, operation, id)))
                .map(below -> below.isEmpty()
                        ? answers.newResponse(BELOW_FAILED)
                        : answer(request, answers, operation, id, below.get()));
    }

    /** Calls the services below one after the other; empty when one of them failed. */
    private Single<Optional<String>> below(StreamingHttpRequest request, String operation, String id) {
        List<String> targets = settings.calls().getOrDefault(operation, List.of());
        Single<Optional<String>> result = Single.succeeded(Optional.of(""));
        for (String target : targets) {
            result = result.flatMap(
                    before -> before.isEmpty() ? Single.succeeded(before) : call(request, target, id, before.get()));
        }
        return result;
    }

    private Single<Optional<String>> call(StreamingHttpRequest request, String target, String id, String before) {
        CharSequence context = request.headers().get(CONTEXT);
        return node.request(node.get("/" + target + "?id=" + id).setHeader(CONTEXT, context == null ? "" : context))
                .map(r -> r.status().code() > OK_MOST
                        ? Optional.<String>empty()
                        : Optional.of(before + r.payloadBody().toString(StandardCharsets.UTF_8)))
                .onErrorReturn(e -> Optional.empty());
    }

    private StreamingHttpResponse answer(
            StreamingHttpRequest request,
            StreamingHttpResponseFactory answers,
            String operation,
            String id,
            String below) {
        int size = Optional.ofNullable(request.queryParameter("size"))
                .map(Integer::parseInt)
                .orElse(0);
        if (size == 0) {
            return text(answers.ok(), Bodies.text(settings.service(), operation, id, below));
        }
        Publisher<Buffer> body = Publisher.fromIterable(() -> IntStream.range(0, (size + FRAGMENT - 1) / FRAGMENT)
                .mapToObj(i -> DEFAULT_ALLOCATOR.wrap(
                        Bodies.part(id, (long) i * FRAGMENT, Math.min(FRAGMENT, size - i * FRAGMENT))))
                .iterator());
        return answers.ok().payloadBody(body);
    }

    private void set(StreamingHttpRequest request) {
        Optional.ofNullable(request.queryParameter("slow")).ifPresent(v -> behaviour.slow(Double.parseDouble(v)));
        Optional.ofNullable(request.queryParameter("fail-percent"))
                .ifPresent(v -> behaviour.failPercent(Integer.parseInt(v)));
        Optional.ofNullable(request.queryParameter("load")).ifPresent(v -> behaviour.reportLoad(Double.parseDouble(v)));
    }

    private static StreamingHttpResponse text(StreamingHttpResponse response, String body) {
        return response.payloadBody(Publisher.from(buffer(body)));
    }

    private static Buffer buffer(String text) {
        return DEFAULT_ALLOCATOR.fromUtf8(text);
    }
}
