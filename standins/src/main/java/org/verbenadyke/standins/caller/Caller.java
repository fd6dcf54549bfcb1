package org.verbenadyke.standins.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.standins.run.Workload;
import org.verbenadyke.standins.upstream.AnswerBodies;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;

/**
 * A caller of a fleet that verifies every byte of each answer.
 */
public final class Caller implements AutoCloseable {
    private static final int OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final Workload workload;
    private final List<Endpoint> entries;
    private final Map<Endpoint, HttpClient> clients = new HashMap<>();
    private final AtomicInteger nextEntry = new AtomicInteger();

    private Caller(Workload workload, List<Endpoint> entries) {
        this.workload = workload;
        this.entries = entries;
        for (Endpoint e : entries) {
            clients.put(
                    e,
                    HttpClients.forSingleAddress(e.host(), e.port())
                            .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                            .build());
        }
    }

    /**
     * Creates a caller.
     *
     * @param workload the workload that defines the expected answers
     * @param entries the entry addresses of the nodes, called round robin
     * @return the caller
     */
    public static Caller of(Workload workload, List<Endpoint> entries) {
        return new Caller(workload, List.copyOf(entries));
    }

    /**
     * Sends a request to the next node.
     *
     * @param kind the kind of request
     * @param id the id in the query
     * @param key the idempotency key, empty for none
     * @param deadlineMillis the deadline that the request declares, in milliseconds
     * @param callback receives the outcome, once
     */
    public void send(
            Workload.RequestKind kind, String id, String key, long deadlineMillis, Consumer<CallerOutcome> callback) {
        HttpClient client = clients.get(entries.get(Math.floorMod(nextEntry.getAndIncrement(), entries.size())));
        String size = kind.size() > 0 ? "&size=" + kind.size() : "";
        HttpRequest request = client.newRequest(
                HttpRequestMethod.of(kind.method(), HttpRequestMethod.Properties.NONE),
                "/" + kind.target() + "?id=" + id + size);
        request.setHeader("verbenadyke-deadline-ms", Long.toString(deadlineMillis));
        if (!key.isEmpty()) {
            request.setHeader("idempotency-key", key);
        }
        Single<HttpResponse> answer = client.request(request).timeout(TIMEOUT);
        answer.map(r -> classify(kind, id, r))
                .onErrorReturn(e -> new CallerOutcome.Lost(String.valueOf(e)))
                .subscribe(callback::accept);
    }

    @Override
    public void close() {
        clients.values().forEach(c -> c.closeAsync().subscribe());
    }

    private CallerOutcome classify(Workload.RequestKind kind, String id, HttpResponse response) {
        Optional<String> runState = header(response, "verbenadyke-run-state");
        if (runState.isPresent()) {
            long retryAfterMillis = header(response, "verbenadyke-retry-after-ms")
                    .map(Long::parseLong)
                    .orElse(0L);
            return new CallerOutcome.Refused(
                    runState.get(), header(response, "verbenadyke-reason").orElse(""), retryAfterMillis);
        }
        if (response.status().code() != OK) {
            return new CallerOutcome.Failed(response.status().code());
        }
        return hasExpectedBody(kind, id, response.payloadBody())
                ? new CallerOutcome.Complete()
                : new CallerOutcome.Lost("another body than asked for");
    }

    private boolean hasExpectedBody(Workload.RequestKind kind, String id, Buffer body) {
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        byte[] expected = kind.size() > 0
                ? AnswerBodies.largeBodyPart(id, 0, kind.size())
                : workload.expectedBody(kind.target(), id).getBytes(StandardCharsets.UTF_8);
        return Arrays.equals(bytes, expected);
    }

    private static Optional<String> header(HttpResponse response, String name) {
        return Optional.ofNullable(response.headers().get(name)).map(CharSequence::toString);
    }
}
