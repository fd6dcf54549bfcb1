package org.verbenadyke.standins.upstream;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.verbenadyke.kernel.routing.Endpoint;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;

/**
 * Where the effects of filings and flags go, so that a run can be counted after its upstream is gone: a stream of the
 * stand-in log that stands for the upstreams' database.
 */
final class Effects {
    private static final String STREAM = "/streams/effects";

    private final Optional<HttpClient> client;

    private Effects(Optional<HttpClient> client) {
        this.client = client;
    }

    static Effects to(Optional<Endpoint> log) {
        return new Effects(log.map(e -> HttpClients.forSingleAddress(e.host(), e.port())
                .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                .build()));
    }

    Completable record(String effect) {
        return client.map(c -> c.request(c.post(STREAM)
                                .payloadBody(c.executionContext()
                                        .bufferAllocator()
                                        .wrap(effect.getBytes(StandardCharsets.UTF_8))))
                        .toCompletable())
                .orElseGet(Completable::completed);
    }
}
