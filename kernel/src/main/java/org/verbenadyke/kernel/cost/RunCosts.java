package org.verbenadyke.kernel.cost;

import java.util.Optional;

/**
 * What another run of a request takes, learned from the successful answers to the calls of this node. Held by kind of
 * request, that is by service and class of paths. Thread-safe.
 */
public final class RunCosts {
    private final KindTable<LearnedCalls> kinds = KindTable.empty();

    private RunCosts() {}

    /**
     * Creates an instance that knows no costs.
     *
     * @return the costs
     */
    public static RunCosts empty() {
        return new RunCosts();
    }

    /**
     * Learns from a successful answer.
     *
     * @param service the service that was called
     * @param pathClass the class of the path
     * @param calls the calls that were made for the answer
     * @param elapsedNanos how long the call took, in nanoseconds
     * @param nowNanos the time
     */
    public void record(String service, String pathClass, CallCounts calls, long elapsedNanos, long nowNanos) {
        kinds.findOrAdd(service, pathClass, nowNanos, () -> LearnedCalls.startedAt(nowNanos))
                .record(calls, elapsedNanos, nowNanos);
    }

    /**
     * Returns what one more run takes.
     *
     * @param service the called service
     * @param pathClass the class of the path
     * @return the cost, empty if no call of the kind was answered with success yet
     */
    public Optional<RunCost> of(String service, String pathClass) {
        return kinds.find(service, pathClass).flatMap(k -> k.cost(service));
    }
}
