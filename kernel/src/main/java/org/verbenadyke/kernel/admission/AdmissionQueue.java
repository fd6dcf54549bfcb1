package org.verbenadyke.kernel.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The calls that wait for a slot, in the order in which they are served. Safe for many threads.
 */
public final class AdmissionQueue {
    /** The more important first, then the one with more work done above it. */
    private static final Comparator<Entry> WORTH = Comparator.<Entry>comparingInt(
                    e -> -e.call().importance().ordinal())
            .thenComparingInt(e -> -e.call().depth());

    private static final Comparator<Entry> ORDER = WORTH.thenComparingLong(Entry::order);

    /**
     * Which call is given up last. Load pattern: more calls than fit, several of each request, and a request is lost
     * with any of them. A rank is the same for all calls of a request, at every upstream, so that the same requests
     * lose their calls everywhere and the others keep all of theirs.
     */
    private static final Comparator<Entry> KEPT_FIRST =
            WORTH.thenComparingInt(e -> -e.rank()).thenComparingLong(Entry::order);

    /**
     * Within an importance the one due first. Load pattern: more calls than fit, before the entry refuses enough. Calls
     * that matter most would else wait behind all others and miss their deadlines with them.
     */
    private static final Comparator<Entry> BY_DUE = Comparator.<Entry>comparingInt(
                    e -> -e.call().importance().ordinal())
            .thenComparingLong(e -> e.call().dueNanos())
            .thenComparingLong(Entry::order);

    private final ConcurrentSkipListSet<Entry> entries;
    private final ConcurrentSkipListSet<Entry> byRank = new ConcurrentSkipListSet<>(KEPT_FIRST);
    private final AtomicInteger size = new AtomicInteger();
    private final AtomicLong orders = new AtomicLong();

    private AdmissionQueue(QueueOrder order) {
        this.entries = new ConcurrentSkipListSet<>(order == QueueOrder.DUE ? BY_DUE : ORDER);
    }

    /**
     * Creates a queue.
     *
     * @param order which call is served next; the one given up first is always the least important
     * @return an empty queue
     */
    public static AdmissionQueue in(QueueOrder order) {
        return new AdmissionQueue(order);
    }

    /**
     * Adds a call.
     *
     * @param call the call
     * @param nowNanos the time
     */
    public void add(WaitingCall call, long nowNanos) {
        Entry entry = new Entry(call, call.rank(), orders.getAndIncrement(), nowNanos);
        byRank.add(entry);
        entries.add(entry);
        size.incrementAndGet();
    }

    /**
     * Takes the call to serve next.
     *
     * @return the call, if any waits
     */
    public Optional<Entry> pollFirst() {
        Entry entry = entries.pollFirst();
        if (entry != null) {
            byRank.remove(entry);
        }
        return taken(entry);
    }

    /**
     * Takes the call to give up first.
     *
     * @return the call, if any waits
     */
    public Optional<Entry> pollLast() {
        for (Entry entry = byRank.pollLast(); entry != null; entry = byRank.pollLast()) {
            if (entries.remove(entry)) {
                return taken(entry);
            }
        }
        return Optional.empty();
    }

    /**
     * Takes a call out before its turn.
     *
     * @param call the call
     * @return whether it still waited
     */
    public boolean remove(WaitingCall call) {
        for (Entry entry : entries) {
            if (entry.call() == call && entries.remove(entry)) {
                byRank.remove(entry);
                size.decrementAndGet();
                return true;
            }
        }
        return false;
    }

    /**
     * Returns how many calls wait.
     *
     * @return the number, exact when no other thread is at work
     */
    public int size() {
        return size.get();
    }

    private Optional<Entry> taken(Entry entry) {
        if (entry != null) {
            size.decrementAndGet();
        }
        return Optional.ofNullable(entry);
    }

    /**
     * A waiting call.
     *
     * @param call the call
     * @param rank its rank, worked out once
     * @param order its place among equals
     * @param since when it began to wait, in nanoseconds
     */
    public record Entry(WaitingCall call, int rank, long order, long since) {}
}
