package org.verbenadyke.kernel.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * How long requests of callers take until they are answered well, by kind of request. Safe for many threads; a lost
 * update of two at once does no harm to a mean.
 */
final class AnswerTimes {
    /** Weight of the newest answer: some tens of answers count, a second or two of one node's load. */
    private static final double SMOOTHING = 0.05;

    private final Map<Kind, Double> smoothedNanos = new ConcurrentHashMap<>();

    private AnswerTimes() {}

    static AnswerTimes empty() {
        return new AnswerTimes();
    }

    /**
     * Notes a good answer.
     *
     * @param kind what was asked for
     * @param nanos how long it took, in nanoseconds
     */
    void record(Kind kind, long nanos) {
        smoothedNanos.merge(kind, (double) nanos, (seen, taken) -> seen + SMOOTHING * (taken - seen));
    }

    /**
     * Returns how long an answer takes.
     *
     * @param kind what is asked for
     * @return the time in nanoseconds, 0 when none was seen
     */
    long typicalNanos(Kind kind) {
        return smoothedNanos.getOrDefault(kind, 0.0).longValue();
    }

    /**
     * A kind of request.
     *
     * @param service the service asked
     * @param pathClass the class of its path
     */
    record Kind(String service, String pathClass) {
        // Written out: derived ones are generated at their first use, which costs a process that starts much time.
        @Override
        public boolean equals(Object other) {
            return other instanceof Kind o && service.equals(o.service) && pathClass.equals(o.pathClass);
        }

        @Override
        public int hashCode() {
            return 31 * service.hashCode() + pathClass.hashCode();
        }
    }
}
