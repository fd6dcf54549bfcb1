package org.verbenadyke.standins.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.servicetalk.concurrent.CompletableSource;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.SourceAdapters;

/**
 * The slots of a stand-in upstream with its own bounded queue, first come, first served. Safe for many threads.
 */
final class Slots {
    private final int most;
    private final int queueMost;
    private final Deque<CompletableSource.Processor> waiting = new ArrayDeque<>();
    private int used;

    Slots(int most, int queueMost) {
        this.most = most;
        this.queueMost = queueMost;
    }

    /** Takes a slot, now or later; empty when the upstream sheds the call. */
    synchronized Optional<Completable> acquire() {
        if (used < most) {
            used++;
            return Optional.of(Completable.completed());
        }
        if (waiting.size() >= queueMost) {
            return Optional.empty();
        }
        CompletableSource.Processor turn = Processors.newCompletableProcessor();
        waiting.add(turn);
        return Optional.of(SourceAdapters.fromSource(turn));
    }

    void release() {
        CompletableSource.Processor next;
        synchronized (this) {
            next = waiting.poll();
            if (next == null) {
                used--;
            }
        }
        if (next != null) {
            next.onComplete();
        }
    }

    synchronized int load() {
        return used + waiting.size();
    }
}
