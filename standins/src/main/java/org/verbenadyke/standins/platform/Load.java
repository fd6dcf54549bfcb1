package org.verbenadyke.standins.platform;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.call.HeaderField;
import org.verbenadyke.node.http1.AnswerListener;
import org.verbenadyke.node.http1.HttpPool;
import org.verbenadyke.node.http1.HttpRequestMessage;

/**
 * Sends requests to a node, some at once, as fast as they are answered; for looking at what a request costs.
 */
final class Load {
    private static final int AT_ONCE = 8;
    private static final double NANOS_PER_MICRO = 1_000.0;

    private final HttpPool pool;
    private final int requests;
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final CountDownLatch running = new CountDownLatch(AT_ONCE);

    private Load(HttpPool pool, int requests) {
        this.pool = pool;
        this.requests = requests;
    }

    static Load on(HttpPool pool, int requests) {
        return new Load(pool, requests);
    }

    void run() throws InterruptedException {
        long begun = System.nanoTime();
        for (int i = 0; i < AT_ONCE; i++) {
            next();
        }
        running.await();
        double micros = (System.nanoTime() - begun) / NANOS_PER_MICRO;
        System.out.printf("load: %d of %d served, %.1f microseconds each%n", served.get(), requests, micros / requests);
    }

    private void next() {
        int number = sent.incrementAndGet();
        if (number > requests) {
            running.countDown();
            return;
        }
        List<HeaderField> fields = List.of(
                new HeaderField("host", "read.example"),
                new HeaderField("x-request-id", "l" + number),
                new HeaderField("x-deadline-ms", "2000"));
        pool.send(HttpRequestMessage.of("GET", "/r/x/" + ServerStandIn.FINE, fields), new Listener());
    }

    /** Counts one answer and sends the next request. */
    private final class Listener implements AnswerListener {
        private static final int OK = 200;

        @Override
        public void unreachable() {
            next();
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
            // The bytes don't matter here.
        }

        @Override
        public void end() {
            next();
        }

        @Override
        public void broken() {
            next();
        }
    }
}
