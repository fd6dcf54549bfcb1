package org.verbenadyke.kernel.admission;

/**
 * How a gate queues.
 *
 * @param sheds whether calls are refused by level, queue length and deadline; if not, the queue is unbounded and first
 *     come, first served
 * @param queueShare the length of the queue as a share of the limit
 * @param minQueueLength the least length of the queue
 * @param targetWaitNanos the wait in the queue from which on the upstream counts as overloaded, in nanoseconds
 * @param order which waiting call is served next; {@link QueueOrder#DUE} also sets the level by load
 */
public record GateSettings(boolean sheds, double queueShare, int minQueueLength, long targetWaitNanos, QueueOrder order) {
    private static final int MAX_QUEUE_LENGTH = 10_000;
    private static final double DEFAULT_QUEUE_SHARE = 0.5;
    private static final int DEFAULT_MIN_QUEUE_LENGTH = 8;
    private static final long DEFAULT_TARGET_WAIT_NANOS = 10_000_000L;

    /**
     * Returns the settings in use unless others are given.
     *
     * @return the settings
     */
    public static GateSettings standard() {
        return new GateSettings(true, DEFAULT_QUEUE_SHARE, DEFAULT_MIN_QUEUE_LENGTH, DEFAULT_TARGET_WAIT_NANOS, QueueOrder.IMPORTANCE);
    }

    /**
     * Returns the settings of the baseline: an unbounded queue and no shedding.
     *
     * @return the settings
     */
    public static GateSettings unbounded() {
        return new GateSettings(false, 0, Integer.MAX_VALUE, Long.MAX_VALUE, QueueOrder.IMPORTANCE);
    }

    /** Bounds the queue: by a share of the limit, but never below what is served within the target wait. */
    int maxQueueLength(int limit, long serviceNanos) {
        double byShare = limit * queueShare;
        double byTime = serviceNanos <= 0 ? 0 : (double) limit * targetWaitNanos / serviceNanos;
        return (int) Math.max(minQueueLength, Math.min(MAX_QUEUE_LENGTH, Math.max(byShare, byTime)));
    }
}
