package org.verbenadyke.kernel.admission;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.verbenadyke.kernel.call.RefusalReason;

/**
 * Decides when a call is handed to the upstream beside the node: at once while a slot is free, else in order of
 * importance from a short queue, or not at all. Safe for many threads.
 */
public final class Gate {
    private final GateSettings settings;
    private final ConcurrencyLimit limit;
    private final LevelControl level;
    private final AdmissionQueue queue;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ServiceTime serviceTime = ServiceTime.unknown();
    private final HoldTime holdTime = HoldTime.unknown();
    private final HoldTime directHoldTime = HoldTime.unknown();

    private Gate(GateSettings settings, ConcurrencyLimit limit) {
        this.settings = settings;
        this.limit = limit;
        this.queue = AdmissionQueue.in(settings.order());
        this.level = settings.order() == QueueOrder.DUE ? LoadLevel.open() : AdmissionLevel.open();
    }

    /**
     * Creates a gate.
     *
     * @param settings how it queues
     * @param limit how many calls may be in flight
     * @return the gate
     */
    public static Gate of(GateSettings settings, ConcurrencyLimit limit) {
        return new Gate(settings, limit);
    }

    /**
     * Takes a call: it is admitted, queued or shed.
     *
     * @param call the call
     * @param nowNanos the time
     */
    public void offer(WaitingCall call, long nowNanos) {
        if (!settings.sheds()) {
            queue.add(call, nowNanos);
            drain(nowNanos);
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
        if (queue.size() > settings.queueMost(limit.current(), serviceTime.least())) {
            level.overloaded();
            queue.pollLast().ifPresent(e -> e.call().shed(RefusalReason.SHED_QUEUE));
        }
        drain(nowNanos);
    }

    /**
     * Takes a call out of the queue.
     *
     * @param call the call
     * @return whether it still waited; it is told nothing more
     */
    public boolean withdraw(WaitingCall call) {
        return queue.remove(call);
    }

    /**
     * Gives a slot back.
     *
     * @param nowNanos the time
     * @param latencyNanos how long the upstream took
     * @param outcome how the call ended
     * @param depth how many calls lie above it
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
        drain(nowNanos);
    }

    /** Refuses all that wait, as the upstream is leaving. */
    public void flush() {
        for (Optional<AdmissionQueue.Entry> e = queue.pollFirst(); e.isPresent(); e = queue.pollFirst()) {
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
     * Returns the calls in flight.
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
     * Returns the waiting calls.
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

    private void drain(long nowNanos) {
        while (queue.size() > 0 && tryAcquire()) {
            Optional<AdmissionQueue.Entry> first = queue.pollFirst();
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
        if (nowNanos - entry.since() > settings.targetWaitNanos()) {
            level.overloaded();
        }
        if (nowNanos + serviceTime.least() > call.deadlineNanos()) {
            inFlight.decrementAndGet();
            call.shed(RefusalReason.DEADLINE);
            return;
        }
        call.admitted();
    }
}
