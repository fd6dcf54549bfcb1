package org.verbenadyke.kernel.follow;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.route.RoutePlanStore;
import org.verbenadyke.kernel.time.TimerService;

/**
 * Reads the operators' configuration while this node has the duty to: the newest version once, then each following one.
 * Newer versions may meanwhile arrive from other nodes. While the source is unavailable, reads are retried at growing
 * intervals. Runs on the thread of the timers and of the source's callbacks.
 */
public final class PlanFollower {
    private static final String SOURCE = "store";
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** How often the node checks whether to start reading: a small part of the time that a change may take. */
    private static final long TICK_NANOS = 100 * NANOS_PER_MILLI;

    /** How long further changes are gathered after one: a tenth of the shortest time that a change may take. */
    private static final long BATCH_DELAY_NANOS = 150 * NANOS_PER_MILLI;

    /** The delay after the first failure, doubled at each further one: an eighth of the time that a change may take. */
    private static final long MIN_RETRY_DELAY_NANOS = 250 * NANOS_PER_MILLI;

    /** The longest delay: other nodes take over meanwhile, a few at a time. */
    private static final long MAX_RETRY_DELAY_NANOS = 2_000 * NANOS_PER_MILLI;

    private final PlanSource source;
    private final RoutePlanStore plans;
    private final TimerService timers;
    private final Supplier<RandomGenerator> random;
    private final FollowDuty duty;
    private final Listener listener;
    private long retryDelayNanos = MIN_RETRY_DELAY_NANOS;
    private long nextAttemptNanos;
    private boolean reading;
    private boolean unavailable;
    private boolean positionFresh;
    private boolean wasCurrent;
    private boolean outdatedReported;

    private PlanFollower(
            PlanSource source,
            RoutePlanStore plans,
            TimerService timers,
            Supplier<RandomGenerator> random,
            FollowDuty duty,
            Listener listener) {
        this.source = source;
        this.plans = plans;
        this.timers = timers;
        this.random = random;
        this.duty = duty;
        this.listener = listener;
        this.nextAttemptNanos = timers.nanos();
    }

    /**
     * Creates a follower and subscribes it to the timers.
     *
     * @param source the stream of documents
     * @param plans is offered each document
     * @param timers the clock and timers
     * @param random the source of randomness
     * @param duty decides when to read
     * @param listener is notified of reads and failures
     * @return the follower
     */
    public static PlanFollower start(
            PlanSource source,
            RoutePlanStore plans,
            TimerService timers,
            Supplier<RandomGenerator> random,
            FollowDuty duty,
            Listener listener) {
        PlanFollower follower = new PlanFollower(source, plans, timers, random, duty, listener);
        timers.every(TICK_NANOS, follower::tick);
        return follower;
    }

    private void tick() {
        duty.currency().tick();
        pollIfDue();
        reportCurrency();
    }

    /** Reports when the plan is no longer known to be current, and when it is again. */
    private void reportCurrency() {
        PlanStatus status = duty.currency().status();
        if (status.current() == wasCurrent) {
            return;
        }
        wasCurrent = status.current();
        if (!wasCurrent) {
            outdatedReported = true;
            listener.outdated(status);
        } else if (outdatedReported) {
            listener.current(status);
        }
    }

    private void pollIfDue() {
        if (!reading && timers.nanos() - nextAttemptNanos >= 0 && duty.shouldStart()) {
            reading = true;
            listener.reading(duty.designated(), duty.currency().ageMillis());
            readNewest();
        }
    }

    private void readNewest() {
        long sentNanos = timers.nanos();
        source.newest(result -> {
            if (!(result instanceof PlanSource.Result.Documents page)) {
                failed(result);
                return;
            }
            apply(page, sentNanos);
            positionFresh = true;
            continueAfter(page);
        });
    }

    private void readFrom(PlanSource.Position from, long pollMillis) {
        long sentNanos = timers.nanos();
        source.next(from, pollMillis, result -> {
            switch (result) {
                case PlanSource.Result.Gone g -> onGone(g);
                case PlanSource.Result.Failed f -> failed(f);
                case PlanSource.Result.Documents page -> {
                    positionFresh = false;
                    apply(page, answeredNanos(page, sentNanos, pollMillis));
                    continueAfter(page);
                }
            }
        });
    }

    /** Reads the newest documents, after a pause if the position that they led to was gone at once. */
    private void onGone(PlanSource.Result.Gone gone) {
        if (positionFresh) {
            failed(gone);
            return;
        }
        readNewest();
    }

    /** Returns a time that the answer is not older than; one without documents is given at the end of the poll. */
    private long answeredNanos(PlanSource.Result.Documents page, long sentNanos, long pollMillis) {
        long pollEnd = sentNanos + pollMillis * NANOS_PER_MILLI;
        return page.documents().isEmpty() && timers.nanos() - pollEnd >= 0 ? pollEnd : sentNanos;
    }

    private void continueAfter(PlanSource.Result.Documents page) {
        if (!duty.keepsReading()) {
            reading = false;
            return;
        }
        long pollMillis = duty.pollMillis(random.get());
        if (page.documents().isEmpty()) {
            readFrom(page.next(), pollMillis);
            return;
        }
        // All followers had the change at once; with shorter polls some of them soon have the next answer.
        long shortened = random.get().nextLong(pollMillis);
        timers.after(BATCH_DELAY_NANOS, () -> readFrom(page.next(), shortened));
    }

    private void apply(PlanSource.Result.Documents page, long answeredNanos) {
        if (unavailable) {
            listener.available();
        }
        unavailable = false;
        retryDelayNanos = MIN_RETRY_DELAY_NANOS;
        page.documents().forEach(d -> plans.offer(d, SOURCE));
        duty.currency().answered();
        if (page.complete()) {
            duty.currency().confirmed(answeredNanos);
        }
    }

    private void failed(PlanSource.Result result) {
        if (!unavailable) {
            listener.unavailable(
                    result instanceof PlanSource.Result.Failed f ? f.reason() : "no records", plans.version());
        }
        unavailable = true;
        reading = false;
        nextAttemptNanos = timers.nanos() + retryDelayNanos / 2 + random.get().nextLong(retryDelayNanos);
        retryDelayNanos = Math.min(MAX_RETRY_DELAY_NANOS, retryDelayNanos * 2);
    }

    /**
     * Is notified of reads and failures. Ignores what it doesn't override.
     */
    public interface Listener {
        /**
         * Called when the node begins to read.
         *
         * @param designated whether the node is a designated follower of its data centre
         * @param planAgeMillis how long ago the plan in force was known to be complete, in milliseconds
         */
        default void reading(boolean designated, int planAgeMillis) {}

        /**
         * Called when the source fails, unless it had already failed before.
         *
         * @param reason why there is no result
         * @param version the version that stays in force
         */
        default void unavailable(String reason, long version) {}

        /** Called when the source answers after a failure. */
        default void available() {}

        /**
         * Called when the plan in force is no longer known to have every change that is older than the bound.
         *
         * @param status what is known of it
         */
        default void outdated(PlanStatus status) {}

        /**
         * Called when the plan in force is known to be current again.
         *
         * @param status what is known of it
         */
        default void current(PlanStatus status) {}
    }
}
