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
 * Calls a fleet from outside and checks every byte of each answer.
 */
public final class Caller implements AutoCloseable {
    private static final int OK = 200;
    private static final Duration PATIENCE = Duration.ofSeconds(10);

    private final Workload workload;
    private final List<Endpoint> entries;
    private final Map<Endpoint, HttpClient> clients = new HashMap<>();
    private final AtomicInteger turn = new AtomicInteger();

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
     * @param workload what it may ask for
     * @param entries the nodes it calls in turn
     * @return the caller
     */
    public static Caller of(Workload workload, List<Endpoint> entries) {
        return new Caller(workload, List.copyOf(entries));
    }

    /**
     * Sends a request to the next node.
     *
     * @param kind what to ask
     * @param id the id to ask for
     * @param key the idempotency key, empty for none
     * @param deadlineMillis how long to wait, in milliseconds
     * @param taker is told once what came back
     */
    public void send(
            Workload.RequestKind kind, String id, String key, long deadlineMillis, Consumer<CallerOutcome> taker) {
        HttpClient client = clients.get(entries.get(Math.floorMod(turn.getAndIncrement(), entries.size())));
        String size = kind.size() > 0 ? "&size=" + kind.size() : "";
        HttpRequest request = client.newRequest(
                HttpRequestMethod.of(kind.method(), HttpRequestMethod.Properties.NONE),
                "/" + kind.target() + "?id=" + id + size);
        request.setHeader("verbenadyke-deadline-ms", Long.toString(deadlineMillis));
        if (!key.isEmpty()) {
            request.setHeader("idempotency-key", key);
        }
        Single<HttpResponse> answer = client.request(request).timeout(PATIENCE);
        answer.map(r -> judge(kind, id, r))
                .onErrorReturn(e -> new CallerOutcome.Lost(String.valueOf(e)))
                .subscribe(taker::accept);
    }

    @Override
    public void close() {
        clients.values().forEach(c -> c.closeAsync().subscribe());
    }

    private CallerOutcome judge(Workload.RequestKind kind, String id, HttpResponse response) {
        Optional<String> state = header(response, "verbenadyke-run-state");
        if (state.isPresent()) {
            long after = header(response, "verbenadyke-retry-after-ms")
                    .map(Long::parseLong)
                    .orElse(0L);
            return new CallerOutcome.Refused(
                    state.get(), header(response, "verbenadyke-reason").orElse(""), after);
        }
        if (response.status().code() != OK) {
            return new CallerOutcome.Failed(response.status().code());
        }
        return whole(kind, id, response.payloadBody())
                ? new CallerOutcome.Whole()
                : new CallerOutcome.Lost("another body than asked for");
    }

    private boolean whole(Workload.RequestKind kind, String id, Buffer body) {
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
