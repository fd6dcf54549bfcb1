package org.verbenadyke.kernel.admission;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.notice.AnnouncedRate;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Admits calls to the colocated upstream: at once while a slot is free, otherwise from a short queue in order of
 * importance. Calls that don't fit are shed. Thread-safe.
 */
public final class Gate {
    private final GateSettings settings;
    private final ConcurrencyLimit limit;
    private final LevelControl level;
    private final AdmissionQueue queue;
    private final UpstreamRateLimit rateLimit;
    private final Optional<TimerService> timers;
    private final AtomicBoolean wakeUpPending = new AtomicBoolean();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final ServiceTime serviceTime = ServiceTime.unknown();
    private final SlotHoldTime holdTime = SlotHoldTime.unknown();
    private final SlotHoldTime directHoldTime = SlotHoldTime.unknown();
    private volatile boolean wasRateLimited;

    private Gate(
            GateSettings settings,
            ConcurrencyLimit limit,
            AnnouncedRate announcedRate,
            Optional<TimerService> timers,
            BooleanSupplier sharesGuaranteed) {
        this.settings = settings;
        this.limit = limit;
        this.rateLimit = UpstreamRateLimit.following(
                announcedRate, timers.map(TimerService::nanos).orElse(0L));
        this.wasRateLimited = rateLimit.limited();
        this.timers = timers;
        this.queue = AdmissionQueue.in(settings.order(), sharesGuaranteed);
        this.level = settings.order() == QueueOrder.DUE ? LoadLevel.open(sharesGuaranteed) : AdmissionLevel.open();
    }

    /**
     * Creates a gate to an upstream that names no rate limit.
     *
     * @param settings the settings of the queue
     * @param limit how many calls may be in flight
     * @return the gate
     */
    public static Gate of(GateSettings settings, ConcurrencyLimit limit) {
        return new Gate(settings, limit, AnnouncedRate.unlimited(), Optional.empty(), () -> false);
    }

    /**
     * Creates a gate to an upstream that may name a rate limit.
     *
     * @param settings the settings of the queue
     * @param limit how many calls may be in flight
     * @param announcedRate the rate limit that the upstream names
     * @param timers wakes up the calls that wait for the rate limit
     * @param sharesGuaranteed whether the route plan guarantees shares: the level then skips an importance without
     *     arriving calls, and the queue sheds calls of one importance by their rank alone
     * @return the gate
     */
    public static Gate of(
            GateSettings settings,
            ConcurrencyLimit limit,
            AnnouncedRate announcedRate,
            TimerService timers,
            BooleanSupplier sharesGuaranteed) {
        return new Gate(settings, limit, announcedRate, Optional.of(timers), sharesGuaranteed);
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
        if (queue.size() == 0 && tryAcquire(nowNanos)) {
            call.admitted();
            return;
        }
        queue.add(call, nowNanos);
        if (queue.size() > settings.maxQueueLength(limit.current(), serviceTime.minNanos())) {
            shedOne(RefusalReason.SHED_QUEUE);
        } else if (queue.size() > rateLimit.maxWaiting(nowNanos)) {
            shedOne(RefusalReason.UPSTREAM_LIMITED);
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

    /**
     * Releases the slot of a call that was admitted but not handed over.
     *
     * @param nowNanos the time
     * @param depth the depth in the call chain, 0 for a request from a caller
     */
    public void releaseUnused(long nowNanos, int depth) {
        rateLimit.putBack();
        release(nowNanos, 0, ConcurrencyLimit.Outcome.IGNORED, depth);
    }

    /**
     * Admits waiting calls after the rate limit or the concurrency limit of the upstream has changed.
     *
     * @param nowNanos the time
     */
    public void limitsChanged(long nowNanos) {
        boolean limited = rateLimit.limited();
        if (wasRateLimited && !limited) {
            level.reset();
        }
        wasRateLimited = limited;
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
        level.endWindow(new GateLoad(
                limit.current(),
                inFlight.get(),
                queue.size(),
                holdTime.nanos(),
                directHoldTime.nanos(),
                rateLimit.perSecond()));
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
     * Returns the rate at which calls are handed over at most.
     *
     * @return the calls per second, {@link AnnouncedRate#UNLIMITED} without a rate limit
     */
    public double maxCallsPerSecond() {
        return rateLimit.perSecond();
    }

    /**
     * Returns the number of waiting calls.
     *
     * @return how many calls wait
     */
    public int queued() {
        return queue.size();
    }

    private void shedOne(RefusalReason reason) {
        level.overloaded();
        queue.pollToShed().ifPresent(e -> e.call().shed(reason));
    }

    /** Acquires a slot, and a token of the rate limit. */
    private boolean tryAcquire(long nowNanos) {
        int seen = inFlight.get();
        while (seen < limit.current()) {
            if (inFlight.compareAndSet(seen, seen + 1)) {
                return tryTakeToken(nowNanos);
            }
            seen = inFlight.get();
        }
        return false;
    }

    private boolean tryTakeToken(long nowNanos) {
        if (rateLimit.tryTake(nowNanos)) {
            return true;
        }
        inFlight.decrementAndGet();
        return false;
    }

    private void cancelAcquired() {
        rateLimit.putBack();
        inFlight.decrementAndGet();
    }

    private void admitQueued(long nowNanos) {
        while (queue.size() > 0 && tryAcquire(nowNanos)) {
            Optional<AdmissionQueue.Entry> first = queue.pollNext();
            if (first.isEmpty()) {
                cancelAcquired();
                return;
            }
            admit(first.get(), nowNanos);
        }
        scheduleWakeUp(nowNanos);
    }

    /** Schedules the admission of the next waiting call, if it waits for the rate limit and not for a slot. */
    private void scheduleWakeUp(long nowNanos) {
        if (timers.isEmpty() || queue.size() == 0) {
            return;
        }
        long waitNanos = rateLimit.waitNanos(nowNanos);
        if (waitNanos > 0 && wakeUpPending.compareAndSet(false, true)) {
            timers.get().after(waitNanos, this::wakeUp);
        }
    }

    private void wakeUp() {
        wakeUpPending.set(false);
        timers.ifPresent(t -> admitQueued(t.nanos()));
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
            cancelAcquired();
            call.shed(RefusalReason.DEADLINE);
            return;
        }
        call.admitted();
    }
}
