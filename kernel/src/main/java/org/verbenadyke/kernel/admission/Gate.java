package org.verbenadyke.kernel.admission;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.notice.AnnouncedRate;

/**
 * Admits calls to the colocated upstream: at once while a slot is free, otherwise from a short queue in order of
 * importance. Calls that don't fit are shed. Thread-safe.
 */
public final class Gate {
    private final GateSettings settings;
    private final ConcurrencyLimit limit;
    private final LevelControl level;
    private final AdmissionQueue queue;
    private final AnnouncedRate announcedRate = AnnouncedRate.unlimited();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ServiceTime serviceTime = ServiceTime.unknown();
    private final SlotHoldTime holdTime = SlotHoldTime.unknown();
    private final SlotHoldTime directHoldTime = SlotHoldTime.unknown();

    private Gate(GateSettings settings, ConcurrencyLimit limit) {
        this.settings = settings;
        this.limit = limit;
        this.queue = AdmissionQueue.in(settings.order());
        this.level = settings.order() == QueueOrder.DUE ? LoadLevel.open() : AdmissionLevel.open();
    }

    /**
     * Creates a gate.
     *
     * @param settings the settings of the queue
     * @param limit how many calls may be in flight
     * @return the gate
     */
    public static Gate of(GateSettings settings, ConcurrencyLimit limit) {
        return new Gate(settings, limit);
    }

    /**
     * Admits, queues or sheds a call.
     *
     * @param call the call
     * @param nowNanos the time
     */
    public void offer(WaitingCall call, long nowNanos) {
        if (!settings.sheds()) {
            queue.add(call, nowNanos);
            admitQueued(nowNanos);
            return;
        }
        if (!level.arrive(call.rank(), call.depth())) {
            call.shed(RefusalReason.SHED_LEVEL);
            return;
        }
        if (queue.size() == 0 && tryAcquire()) {
            call.admitted();
            return;
        }
        queue.add(call, nowNanos);
        if (queue.size() > settings.maxQueueLength(limit.current(), serviceTime.minNanos())) {
            level.overloaded();
            queue.pollToShed().ifPresent(e -> e.call().shed(RefusalReason.SHED_QUEUE));
        }
        admitQueued(nowNanos);
    }

    /**
     * Removes a call from the queue.
     *
     * @param call the call
     * @return whether the call still waited; a removed call gets no further notification
     */
    public boolean withdraw(WaitingCall call) {
        return queue.remove(call);
    }

    /**
     * Releases a slot.
     *
     * @param nowNanos the time
     * @param latencyNanos how long the upstream took
     * @param outcome the outcome of the call
     * @param depth the depth in the call chain, 0 for a request from a caller
     */
    public void release(long nowNanos, long latencyNanos, ConcurrencyLimit.Outcome outcome, int depth) {
        limit.finished(nowNanos, latencyNanos, inFlight.get(), outcome);
        inFlight.decrementAndGet();
        switch (outcome) {
            case ANSWERED -> {
                level.finished();
                serviceTime.observe(nowNanos, latencyNanos);
                holdTime.observe(latencyNanos);
                if (depth == 0) {
                    directHoldTime.observe(latencyNanos);
                }
            }
            case SHED -> level.overloaded();
            case IGNORED -> level.finished();
            default -> throw new IllegalStateException(outcome.name());
        }
        admitQueued(nowNanos);
    }

    /** Refuses all waiting calls, since the upstream is draining. */
    public void flush() {
        for (Optional<AdmissionQueue.Entry> e = queue.pollNext(); e.isPresent(); e = queue.pollNext()) {
            e.get().call().shed(RefusalReason.DRAINING);
        }
    }

    /** Ends a window of the admission level; called every {@link AdmissionLevel#WINDOW_NANOS}. */
    public void endWindow() {
        level.endWindow(
                new GateLoad(limit.current(), inFlight.get(), queue.size(), holdTime.nanos(), directHoldTime.nanos()));
    }

    /**
     * Returns the admission level.
     *
     * @return the rank below which calls are refused
     */
    public int level() {
        return level.current();
    }

    /**
     * Returns the admission level for requests that come from callers and not from another upstream.
     *
     * @return the rank below which they are refused
     */
    public int directLevel() {
        return level.direct();
    }

    /**
     * Returns the number of calls in flight.
     *
     * @return how many calls hold a slot
     */
    public int inFlight() {
        return inFlight.get();
    }

    /**
     * Returns the concurrency limit.
     *
     * @return how many calls may hold a slot
     */
    public int limit() {
        return limit.current();
    }

    /**
     * Returns the rate limit that the upstream names in its answers.
     *
     * @return the rate limit
     */
    public AnnouncedRate announcedRate() {
        return announcedRate;
    }

    /**
     * Returns the number of waiting calls.
     *
     * @return how many calls wait
     */
    public int queued() {
        return queue.size();
    }

    private boolean tryAcquire() {
        int seen = inFlight.get();
        while (seen < limit.current()) {
            if (inFlight.compareAndSet(seen, seen + 1)) {
                return true;
            }
            seen = inFlight.get();
        }
        return false;
    }

    private void admitQueued(long nowNanos) {
        while (queue.size() > 0 && tryAcquire()) {
            Optional<AdmissionQueue.Entry> first = queue.pollNext();
            if (first.isEmpty()) {
                inFlight.decrementAndGet();
                return;
            }
            admit(first.get(), nowNanos);
        }
    }

    private void admit(AdmissionQueue.Entry entry, long nowNanos) {
        WaitingCall call = entry.call();
        if (!settings.sheds()) {
            call.admitted();
            return;
        }
        if (nowNanos - entry.sinceNanos() > settings.targetWaitNanos()) {
            level.overloaded();
        }
        if (nowNanos + serviceTime.minNanos() > call.deadlineNanos()) {
            inFlight.decrementAndGet();
            call.shed(RefusalReason.DEADLINE);
            return;
        }
        call.admitted();
    }
}
