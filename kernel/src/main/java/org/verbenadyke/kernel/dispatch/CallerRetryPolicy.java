package org.verbenadyke.kernel.dispatch;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;

/**
 * Decides after which delay refused callers retry, and which retrying callers are prioritized over new ones. Both
 * decisions depend on whether an answer can still arrive within the target latency, judged by the response times of
 * that kind of request. While no response time is known, an answer is assumed to arrive in time. Thread-safe.
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
     * Records a successful answer.
     *
     * @param request the request; calls inside a chain are ignored, since they come from no caller
     * @param nanos the response time, in nanoseconds
     */
    void recordAnswer(Request request, long nanos) {
        if (request.depth() == 0) {
            answerTimes.record(kind(request), nanos);
        }
    }

    /**
     * Returns whether a request is prioritized over new ones, since its caller retries after a Retry-After. A request
     * that will miss its target latency anyway is not: it would take a slot from a new one that can be served in time.
     */
    boolean prioritized(Request request, long nowNanos) {
        return request.returning() && slackNanos(request, nowNanos) >= 0;
    }

    /**
     * Sets the Retry-After delay of a refusal. The delay of a quarantined request, or of one over the rate limit of an
     * upstream, stays: an earlier retry would only be refused again.
     */
    Refusal withRetryAfter(Request request, Refusal refusal, long nowNanos) {
        boolean exact =
                refusal.reason() == RefusalReason.QUARANTINED || refusal.reason() == RefusalReason.UPSTREAM_LIMITED;
        if (request.depth() > 0 || exact || refusal.retryAfterMillis() <= 0) {
            return refusal;
        }
        long slackMillis = slackNanos(request, nowNanos) / NANOS_PER_MILLI;
        return refusal.withRetryAfter(RetryDelay.millis(refusal.retryAfterMillis(), slackMillis, random.get()));
    }

    /**
     * Returns how long a request can still wait and be answered within its target latency; negative when it will be
     * late.
     */
    private long slackNanos(Request request, long nowNanos) {
        return request.dueNanos() - nowNanos - answerTimes.typicalNanos(kind(request));
    }

    private static AnswerTimes.Kind kind(Request request) {
        return new AnswerTimes.Kind(request.service(), request.pathClass());
    }
}
