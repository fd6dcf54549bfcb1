package org.verbenadyke.kernel.dispatch;

import org.verbenadyke.kernel.message.Message;

/**
 * Decides which failures may be tried again, and words the call that tries.
 */
final class RetryRules {
    private static final long MARGIN_MOST_NANOS = 10_000_000L;
    private static final int MARGIN_SHARE = 20;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final int FAILED = 500;
    private static final int NOT_IMPLEMENTED = 501;
    private static final int UNAVAILABLE = 503;
    private static final int FAILED_MOST = 504;

    private RetryRules() {}

    /** Tells whether a status says that the upstream failed. */
    static boolean failed(int status) {
        return status >= FAILED;
    }

    /** Tells whether a status says that the upstream had no room. */
    static boolean shed(int status) {
        return status == UNAVAILABLE;
    }

    /**
     * Tells whether another attempt may mend a failed answer. An answer that settled a failure from further below is
     * final; only the hop right above a failure retries it.
     */
    static boolean retryable(Request request, Message.Head head, boolean perHop) {
        boolean settled = head.retriesExhausted() && !perHop;
        return request.idempotent() && !settled && head.status() != NOT_IMPLEMENTED && head.status() <= FAILED_MOST;
    }

    /**
     * Words the call. Its time to live ends a little before the sender's deadline, so that the refusal at its end comes
     * from the node that knows whether the call ran.
     */
    static Message.Call call(Request request, Attempt attempt, long nowNanos) {
        long leftNanos = request.deadlineNanos() - nowNanos;
        long margin = Math.min(MARGIN_MOST_NANOS, leftNanos / MARGIN_SHARE);
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
                request.content());
    }
}
