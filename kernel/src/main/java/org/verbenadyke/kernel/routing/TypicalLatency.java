package org.verbenadyke.kernel.routing;

import java.util.List;

/**
 * The latency assumed for a candidate that has not answered yet.
 */
final class TypicalLatency {
    private TypicalLatency() {}

    /** Returns the mean of the known latencies in nanoseconds, 1 if none is known. */
    static double of(List<Candidate> candidates) {
        double sum = 0;
        int known = 0;
        for (Candidate c : candidates) {
            if (c.latencyNanos() > 0) {
                sum += c.latencyNanos();
                known++;
            }
        }
        return known == 0 ? 1 : sum / known;
    }
}
