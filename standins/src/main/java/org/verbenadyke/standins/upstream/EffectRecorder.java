package org.verbenadyke.standins.upstream;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.verbenadyke.kernel.routing.Endpoint;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;

/**
 * Records the side effects of filings and flags in a stream of the stand-in log, which represents the upstreams'
 * database. The records outlive the upstream, so executions can still be counted after a crash.
 */
final class EffectRecorder {
    private static final String STREAM_PATH = "/streams/effects";

    private final Optional<HttpClient> client;

    private EffectRecorder(Optional<HttpClient> client) {
        this.client = client;
    }

    static EffectRecorder writingTo(Optional<Endpoint> log) {
        return new EffectRecorder(log.map(e -> HttpClients.forSingleAddress(e.host(), e.port())
                .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                .build()));
    }

    Completable record(String effect) {
        return client.map(c -> c.request(c.post(STREAM_PATH)
                                .payloadBody(c.executionContext()
                                        .bufferAllocator()
                                        .wrap(effect.getBytes(StandardCharsets.UTF_8))))
                        .toCompletable())
                .orElseGet(Completable::completed);
    }
}
