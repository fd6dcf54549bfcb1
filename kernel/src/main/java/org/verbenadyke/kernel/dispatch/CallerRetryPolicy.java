package org.verbenadyke.kernel.dispatch;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;

/**
 * Decides when callers that are refused come back, and which of them go before new ones. Both turn on whether the
 * answer can still come within the target latency, by how long answers of that kind take. With none seen yet, every
 * answer counts as quick. Safe for many threads.
 */
final class CallerRetryPolicy {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final AnswerTimes answerTimes = AnswerTimes.empty();
    private final Supplier<RandomGenerator> random;

    private CallerRetryPolicy(Supplier<RandomGenerator> random) {
        this.random = random;
    }

    static CallerRetryPolicy with(Supplier<RandomGenerator> random) {
        return new CallerRetryPolicy(random);
    }

    /**
     * Notes that a request was answered well.
     *
     * @param request the request; a call inside a chain is none of a caller
     * @param nanos how long the answer took
     */
    void recordAnswer(Request request, long nanos) {
        if (request.depth() == 0) {
            answerTimes.record(kind(request), nanos);
        }
    }

    /**
     * Tells whether a request goes before new ones, since its caller came back. One that will be late all the same goes
     * with the new ones: it would take a place from one of them that can be served in time.
     */
    boolean prioritized(Request request, long nowNanos) {
        return request.returning() && slackNanos(request, nowNanos) >= 0;
    }

    /**
     * Words when the caller may come back. The time of a request that is held back stays: any sooner it would only be
     * refused again.
     */
    Refusal withRetryAfter(Request request, Refusal refusal, long nowNanos) {
        boolean bidden = refusal.retryAfterMillis() > 0 && refusal.reason() != RefusalReason.QUARANTINED;
        if (request.depth() > 0 || !bidden) {
            return refusal;
        }
        long spareMillis = slackNanos(request, nowNanos) / NANOS_PER_MILLI;
        return refusal.withRetryAfter(RetryDelay.millis(refusal.retryAfterMillis(), spareMillis, random.get()));
    }

    /** How long a request can still wait and be answered within its target latency; below 0 when it will be late. */
    private long slackNanos(Request request, long nowNanos) {
        return request.dueNanos() - nowNanos - answerTimes.typicalNanos(kind(request));
    }

    private static AnswerTimes.Kind kind(Request request) {
        return new AnswerTimes.Kind(request.service(), request.pathClass());
    }
}
