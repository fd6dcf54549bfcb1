package org.verbenadyke.bench.real;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpClient;

/**
 * Sends requests at a fixed rate, regardless of the answers, and records each latency from the time that the request
 * was due.
 */
final class OpenLoop {
    private static final long MAX_MICROS = 60_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OK = 200;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long MAX_DRAIN_SECONDS = 10;

    private final Histogram micros = new ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final AtomicInteger failed = new AtomicInteger();

    /** Sends {@code count} requests from the calling thread and waits a limited time for the answers. */
    void run(StreamingHttpClient client, String target, int perSecond, int count) throws InterruptedException {
        CountDownLatch pending = new CountDownLatch(count);
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long due = start + i * NANOS_PER_SECOND / perSecond;
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            client.request(client.get(target))
                    .flatMap(r -> r.payloadBody()
                            .ignoreElements()
                            .concat(Single.succeeded(r.status().code())))
                    .onErrorReturn(e -> -1)
                    .subscribe(status -> {
                        if (status != OK) {
                            failed.incrementAndGet();
                        }
                        micros.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - due) / NANOS_PER_MICRO));
                        pending.countDown();
                    });
        }
        pending.await(MAX_DRAIN_SECONDS, TimeUnit.SECONDS);
    }

    Histogram micros() {
        return micros;
    }

    int failed() {
        return failed.get();
    }
}
