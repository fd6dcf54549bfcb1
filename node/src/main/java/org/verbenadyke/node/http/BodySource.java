package org.verbenadyke.node.http;

import java.util.ArrayDeque;
import java.util.Deque;

import org.verbenadyke.kernel.concurrent.SerialExecutor;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;

/**
 * Publishes the body of an answer to a caller. Fragments are emitted on demand of the caller's connection, and each
 * emitted fragment replenishes the flow-control credit by its length.
 */
final class BodySource implements PublisherSource<Buffer> {
    private final SerialExecutor serial = SerialExecutor.create();
    private final Deque<Buffer> queue = new ArrayDeque<>();
    private final Observer observer;
    private Subscriber<? super Buffer> subscriber;
    private long demand;
    private boolean ended;
    private boolean done;
    private Throwable failure;

    BodySource(Observer observer) {
        this.observer = observer;
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
            observer.fragmentTaken(bytes);
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
     * Observes the delivery of the body.
     */
    interface Observer {
        /** Called when the caller's connection has taken a fragment. */
        void fragmentTaken(int bytes);

        /** Called when the caller disconnected. */
        void callerDisconnected();
    }

    /**
     * The subscription of the caller's connection.
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
                    observer.callerDisconnected();
                }
            });
        }
    }
}
