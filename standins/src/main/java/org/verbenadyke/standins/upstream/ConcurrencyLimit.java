package org.verbenadyke.standins.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.servicetalk.concurrent.CompletableSource;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.SourceAdapters;

/**
 * Concurrency limit of a stand-in upstream: a number of slots and a bounded FIFO queue. Safe for many threads.
 */
final class ConcurrencyLimit {
    private final int maxActive;
    private final int maxQueued;
    private final Deque<CompletableSource.Processor> queue = new ArrayDeque<>();
    private int active;

    ConcurrencyLimit(int maxActive, int maxQueued) {
        this.maxActive = maxActive;
        this.maxQueued = maxQueued;
    }

    /** Acquires a slot; completes once the slot is free. Empty if the queue is full and the call is shed. */
    synchronized Optional<Completable> acquire() {
        if (active < maxActive) {
            active++;
            return Optional.of(Completable.completed());
        }
        if (queue.size() >= maxQueued) {
            return Optional.empty();
        }
        CompletableSource.Processor slotFreed = Processors.newCompletableProcessor();
        queue.add(slotFreed);
        return Optional.of(SourceAdapters.fromSource(slotFreed));
    }

    void release() {
        CompletableSource.Processor next;
        synchronized (this) {
            next = queue.poll();
            if (next == null) {
                active--;
            }
        }
        if (next != null) {
            next.onComplete();
        }
    }

    synchronized int activeAndQueued() {
        return active + queue.size();
    }
}
