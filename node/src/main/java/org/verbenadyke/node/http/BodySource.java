package org.verbenadyke.node.http;

import java.util.ArrayDeque;
import java.util.Deque;

import org.verbenadyke.kernel.concurrent.SerialExecutor;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;

/**
 * The body of an answer on its way to a caller: fragments go out as the caller's connection takes them, and each taken
 * fragment allows as many bytes more.
 */
final class BodySource implements PublisherSource<Buffer> {
    private final SerialExecutor serial = SerialExecutor.create();
    private final Deque<Buffer> queue = new ArrayDeque<>();
    private final Taker taker;
    private Subscriber<? super Buffer> subscriber;
    private long demand;
    private boolean ended;
    private boolean done;
    private Throwable failure;

    BodySource(Taker taker) {
        this.taker = taker;
    }

    @Override
    public void subscribe(Subscriber<? super Buffer> newSubscriber) {
        newSubscriber.onSubscribe(new Demand());
        serial.run(() -> {
            subscriber = newSubscriber;
            drain();
        });
    }

    void add(Buffer buffer) {
        serial.run(() -> {
            queue.add(buffer);
            drain();
        });
    }

    void end() {
        serial.run(() -> {
            ended = true;
            drain();
        });
    }

    void fail(Throwable cause) {
        serial.run(() -> {
            failure = cause;
            queue.clear();
            drain();
        });
    }

    private void drain() {
        if (subscriber == null || done) {
            return;
        }
        while (demand > 0 && !queue.isEmpty()) {
            Buffer buffer = queue.remove();
            int bytes = buffer.readableBytes();
            demand--;
            subscriber.onNext(buffer);
            taker.taken(bytes);
        }
        if (failure != null) {
            done = true;
            subscriber.onError(failure);
        } else if (ended && queue.isEmpty()) {
            done = true;
            subscriber.onComplete();
        }
    }

    /**
     * Learns what became of the body.
     */
    interface Taker {
        /** Takes the news that the caller's connection took a fragment. */
        void taken(int bytes);

        /** Takes the news that the caller left. */
        void left();
    }

    /**
     * The demand of the caller's connection.
     */
    private final class Demand implements Subscription {
        @Override
        public void request(long n) {
            serial.run(() -> {
                demand += Math.max(0, Math.min(n, Long.MAX_VALUE - demand));
                drain();
            });
        }

        @Override
        public void cancel() {
            serial.run(() -> {
                if (!done) {
                    done = true;
                    queue.clear();
                    taker.left();
                }
            });
        }
    }
}
