package org.verbenadyke.kernel.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Smoothed response times of successful requests from callers, by kind of request. Thread-safe; when two threads update
 * one mean at the same time, one update may be lost, which a mean tolerates.
 */
final class AnswerTimes {
    /**
     * Weight of the newest answer: the mean follows the last few tens of answers, about one or two seconds of a node's
     * load.
     */
    private static final double SMOOTHING = 0.05;

    private final Map<Kind, Double> smoothedNanos = new ConcurrentHashMap<>();

    private AnswerTimes() {}

    static AnswerTimes empty() {
        return new AnswerTimes();
    }

    /**
     * Records a successful answer.
     *
     * @param kind the kind of request
     * @param nanos the response time, in nanoseconds
     */
    void record(Kind kind, long nanos) {
        smoothedNanos.merge(kind, (double) nanos, (mean, newest) -> mean + SMOOTHING * (newest - mean));
    }

    /**
     * Returns the smoothed response time of a kind of request.
     *
     * @param kind the kind of request
     * @return the time in nanoseconds, 0 when no answer was recorded yet
     */
    long typicalNanos(Kind kind) {
        return smoothedNanos.getOrDefault(kind, 0.0).longValue();
    }

    /**
     * A kind of request.
     *
     * @param service the called service
     * @param pathClass the class of the path, see {@link Request#pathClass}
     */
    record Kind(String service, String pathClass) {
        // Written out: the record's own methods are generated at their first use, which slows the start of a process.
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
