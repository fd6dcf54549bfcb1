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
 * Sends requests at a fixed rate, whatever the answers do, and notes the time from when each was due.
 */
final class OpenLoop {
    private static final long HIGHEST_MICROS = 60_000_000L;
    private static final int DIGITS = 3;
    private static final int OK = 200;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long DRAIN_SECONDS = 10;

    private final Histogram micros = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);
    private final AtomicInteger failed = new AtomicInteger();

    /** Runs at a rate; one sender thread. */
    void run(StreamingHttpClient client, String target, int perSecond, int count) throws InterruptedException {
        CountDownLatch open = new CountDownLatch(count);
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
                        micros.recordValue(Math.min(HIGHEST_MICROS, (System.nanoTime() - due) / NANOS_PER_MICRO));
                        open.countDown();
                    });
        }
        open.await(DRAIN_SECONDS, TimeUnit.SECONDS);
    }

    Histogram micros() {
        return micros;
    }

    int failed() {
        return failed.get();
    }
}
