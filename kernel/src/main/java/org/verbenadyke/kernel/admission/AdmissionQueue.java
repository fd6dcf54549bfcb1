package org.verbenadyke.kernel.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * The calls that wait for a slot, in the order in which they are served. Thread-safe.
 */
public final class AdmissionQueue {
    /** The more important first, then the deeper in the call chain, for which more work was already done. */
    private static final Comparator<Entry> BY_IMPORTANCE_AND_DEPTH = Comparator.<Entry>comparingInt(
                    e -> -e.call().importance().ordinal())
            .thenComparingInt(e -> -e.call().depth());

    private static final Comparator<Entry> IMPORTANCE_ORDER = BY_IMPORTANCE_AND_DEPTH.thenComparingLong(Entry::arrival);

    /**
     * Shedding order; the first call is shed last. Load pattern: more calls than fit, several per request, and a
     * request fails with any of them. All calls of a request have the same rank at every upstream, so that the same
     * requests lose their calls everywhere and the other requests keep all of theirs.
     */
    private static final Comparator<Entry> RETENTION_ORDER = Comparator.<Entry>comparingInt(
                    e -> -e.call().importance().ordinal())
            .thenComparingInt(e -> -e.retentionDepth())
            .thenComparingInt(e -> -e.rank())
            .thenComparingLong(Entry::arrival);

    /**
     * The more important first, then the one due first. Load pattern: more calls than fit, before the node where
     * requests enter refuses enough of them. The most important calls would otherwise wait behind all others and miss
     * their deadlines too.
     */
    private static final Comparator<Entry> DUE_ORDER = Comparator.<Entry>comparingInt(
                    e -> -e.call().importance().ordinal())
            .thenComparingLong(e -> e.call().dueNanos())
            .thenComparingLong(Entry::arrival);

    private final ConcurrentSkipListSet<Entry> inServiceOrder;
    private final ConcurrentSkipListSet<Entry> inRetentionOrder = new ConcurrentSkipListSet<>(RETENTION_ORDER);
    private final AtomicInteger size = new AtomicInteger();
    private final AtomicLong arrivalNumbers = new AtomicLong();
    private final BooleanSupplier shedsByRankAlone;

    private AdmissionQueue(QueueOrder order, BooleanSupplier shedsByRankAlone) {
        this.shedsByRankAlone = shedsByRankAlone;
        this.inServiceOrder = new ConcurrentSkipListSet<>(order == QueueOrder.DUE ? DUE_ORDER : IMPORTANCE_ORDER);
    }

    /**
     * Creates a queue.
     *
     * @param order which call is served next; the first one to be shed is always the least important
     * @param shedsByRankAlone whether calls of one importance are shed by their rank whatever their depth. Where the
     *     route plan guarantees shares, kinds of request whose chains differ in length share an importance; by depth,
     *     all calls of the shorter chains would be shed before any of the longer ones.
     * @return an empty queue
     */
    public static AdmissionQueue in(QueueOrder order, BooleanSupplier shedsByRankAlone) {
        return new AdmissionQueue(order, shedsByRankAlone);
    }

    /**
     * Adds a call.
     *
     * @param call the call
     * @param nowNanos the time
     */
    public void add(WaitingCall call, long nowNanos) {
        int retentionDepth = shedsByRankAlone.getAsBoolean() ? 0 : call.depth();
        Entry entry = new Entry(call, call.rank(), retentionDepth, arrivalNumbers.getAndIncrement(), nowNanos);
        inRetentionOrder.add(entry);
        inServiceOrder.add(entry);
        size.incrementAndGet();
    }

    /**
     * Removes and returns the call to serve next.
     *
     * @return the call, if any waits
     */
    public Optional<Entry> pollNext() {
        Entry entry = inServiceOrder.pollFirst();
        if (entry != null) {
            inRetentionOrder.remove(entry);
        }
        return countRemoved(entry);
    }

    /**
     * Removes and returns the call to shed first.
     *
     * @return the call, if any waits
     */
    public Optional<Entry> pollToShed() {
        for (Entry entry = inRetentionOrder.pollLast(); entry != null; entry = inRetentionOrder.pollLast()) {
            if (inServiceOrder.remove(entry)) {
                return countRemoved(entry);
            }
        }
        return Optional.empty();
    }

    /**
     * Removes a call that is neither served nor shed.
     *
     * @param call the call
     * @return whether the call still waited
     */
    public boolean remove(WaitingCall call) {
        for (Entry entry : inServiceOrder) {
            if (entry.call() == call && inServiceOrder.remove(entry)) {
                inRetentionOrder.remove(entry);
                size.decrementAndGet();
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the number of waiting calls.
     *
     * @return the number, exact when no other thread changes the queue
     */
    public int size() {
        return size.get();
    }

    private Optional<Entry> countRemoved(Entry entry) {
        if (entry != null) {
            size.decrementAndGet();
        }
        return Optional.ofNullable(entry);
    }

    /**
     * A waiting call.
     *
     * @param call the call
     * @param rank the call's rank, computed once
     * @param retentionDepth the depth in the call chain as far as it decides what is shed first, determined once
     * @param arrival the order of arrival, which decides among equals
     * @param sinceNanos when the call began to wait, in nanoseconds
     */
    public record Entry(WaitingCall call, int rank, int retentionDepth, long arrival, long sinceNanos) {}
}
