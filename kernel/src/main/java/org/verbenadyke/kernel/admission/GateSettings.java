package org.verbenadyke.kernel.admission;

/**
 * Settings for the queue of a gate.
 *
 * @param sheds whether calls are refused by level, queue length and deadline; if not, the queue is unbounded and first
 *     come, first served
 * @param queueShare the capacity of the queue as a share of the concurrency limit
 * @param minQueueLength the minimum capacity of the queue
 * @param targetWaitNanos the wait in the queue above which the upstream counts as overloaded, in nanoseconds
 * @param order which waiting call is served next; with {@link QueueOrder#DUE}, the admission level is set by {@link
 *     LoadLevel}
 */
public record GateSettings(
        boolean sheds, double queueShare, int minQueueLength, long targetWaitNanos, QueueOrder order) {
    private static final int MAX_QUEUE_LENGTH = 10_000;
    private static final double DEFAULT_QUEUE_SHARE = 0.5;
    private static final int DEFAULT_MIN_QUEUE_LENGTH = 8;
    private static final long DEFAULT_TARGET_WAIT_NANOS = 10_000_000L;

    /**
     * Returns the default settings.
     *
     * @return the settings
     */
    public static GateSettings standard() {
        return new GateSettings(
                true, DEFAULT_QUEUE_SHARE, DEFAULT_MIN_QUEUE_LENGTH, DEFAULT_TARGET_WAIT_NANOS, QueueOrder.IMPORTANCE);
    }

    /**
     * Returns the settings of the baseline: an unbounded queue and no shedding.
     *
     * @return the settings
     */
    public static GateSettings unbounded() {
        return new GateSettings(false, 0, Integer.MAX_VALUE, Long.MAX_VALUE, QueueOrder.IMPORTANCE);
    }

    /**
     * Returns the maximum length of the queue: a share of the limit, but at least the number of calls that are served
     * within the target wait.
     */
    int maxQueueLength(int limit, long serviceNanos) {
        double byShare = limit * queueShare;
        double byTime = serviceNanos <= 0 ? 0 : (double) limit * targetWaitNanos / serviceNanos;
        return (int) Math.max(minQueueLength, Math.min(MAX_QUEUE_LENGTH, Math.max(byShare, byTime)));
    }
}
