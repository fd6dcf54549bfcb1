package org.verbenadyke.standins.platform;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.node.http1.AnswerListener;
import org.verbenadyke.node.http1.HttpPool;
import org.verbenadyke.node.http1.HttpRequestMessage;

/**
 * Closed-loop load generator: keeps a fixed number of requests to a node in flight and prints the average time per
 * request.
 */
final class LoadGenerator {
    private static final int CONCURRENCY = 8;
    private static final double NANOS_PER_MICRO = 1_000.0;

    private final HttpPool pool;
    private final int requests;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final CountDownLatch activeLoops = new CountDownLatch(CONCURRENCY);

    private LoadGenerator(HttpPool pool, int requests) {
        this.pool = pool;
        this.requests = requests;
    }

    static LoadGenerator on(HttpPool pool, int requests) {
        return new LoadGenerator(pool, requests);
    }

    void run() throws InterruptedException {
        long startNanos = System.nanoTime();
        for (int i = 0; i < CONCURRENCY; i++) {
            sendNext();
        }
        activeLoops.await();
        double micros = (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
        System.out.printf("load: %d of %d served, %.1f microseconds each%n", served.get(), requests, micros / requests);
    }

    private void sendNext() {
        int sequence = sent.incrementAndGet();
        if (sequence > requests) {
            activeLoops.countDown();
            return;
        }
        List<HeaderField> fields = List.of(
                new HeaderField("host", "read.example"),
                new HeaderField("x-request-id", "l" + sequence),
                new HeaderField("x-deadline-ms", "2000"));
        pool.send(HttpRequestMessage.of("GET", "/r/x/" + ServerStandIn.FINE, fields), new Listener());
    }

    /** Counts one answer if successful and sends the next request. */
    private final class Listener implements AnswerListener {
        private static final int OK = 200;

        @Override
        public void unreachable() {
            sendNext();
        }

        @Override
        public boolean matches(int status, List<HeaderField> fields) {
            return true;
        }

        @Override
        public void head(int status, List<HeaderField> fields) {
            if (status == OK) {
                served.incrementAndGet();
            }
        }

        @Override
        public void data(byte[] bytes) {
            // Only the status counts.
        }

        @Override
        public void end() {
            sendNext();
        }

        @Override
        public void broken() {
            sendNext();
        }
    }
}
