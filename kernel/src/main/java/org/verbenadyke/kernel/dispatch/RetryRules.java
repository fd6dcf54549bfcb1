package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.Repetition;

/**
 * Decides which failures may be retried, and builds the call of an attempt.
 */
final class RetryRules {
    private static final long MAX_MARGIN_NANOS = 10_000_000L;
    private static final int MARGIN_DIVISOR = 20;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final int SERVER_ERROR = 500;
    private static final int NOT_IMPLEMENTED = 501;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_RETRYABLE_STATUS = 504;

    private RetryRules() {}

    /** Returns whether a status reports a failure of the upstream. */
    static boolean isServerError(int status) {
        return status >= SERVER_ERROR;
    }

    /** Returns whether a status reports that the upstream shed the call for lack of capacity. */
    static boolean isShed(int status) {
        return status == UNAVAILABLE;
    }

    /**
     * Returns whether another attempt may turn a failed answer into a successful one. Only the hop that called the
     * failed upstream retries; an answer that reports a failure from deeper in the call chain, already retried there,
     * is final.
     */
    static boolean isRetryable(Request request, Message.Head head, boolean perHop) {
        boolean settled = head.retriesExhausted() && !perHop;
        return request.idempotent()
                && !settled
                && head.status() != NOT_IMPLEMENTED
                && head.status() <= MAX_RETRYABLE_STATUS;
    }

    /**
     * Builds the call. Its time to live ends a little before the sender's deadline, so that the refusal at the deadline
     * comes from the called node, which knows whether the call ran.
     */
    static Message.Call buildCall(Request request, Attempt attempt, Repetition repetition, long nowNanos) {
        long leftNanos = request.deadlineNanos() - nowNanos;
        long margin = Math.min(MAX_MARGIN_NANOS, leftNanos / MARGIN_DIVISOR);
        return new Message.Call(
                attempt.id(),
                request.id(),
                new Message.Target(
                        request.service(), attempt.candidate().upstream().id()),
                request.importance(),
                request.depth(),
                (leftNanos - margin) / NANOS_PER_MICRO,
                (request.dueNanos() - nowNanos) / NANOS_PER_MICRO,
                attempt.link().peerClock(),
                request.idempotent(),
                request.key(),
                attempt.candidate().stated(),
                request.observer().collectsUsage(),
                repetition,
                request.content());
    }
}
