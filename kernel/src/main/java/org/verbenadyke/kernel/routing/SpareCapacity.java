package org.verbenadyke.kernel.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Draws candidates at random, weighted by spare capacity, so that many nodes with the same reports don't all choose the
 * same one.
 */
final class SpareCapacity {
    /** Minimum weight, so that a fully utilised candidate still gets calls and reports its load. */
    private static final double MIN_WEIGHT = 0.05;

    private SpareCapacity() {}

    /** Draws a candidate from a non-empty list. */
    static Candidate draw(List<Candidate> fit, RandomGenerator random) {
        return drawOther(fit, null, random);
    }

    /** Draws a candidate other than the excluded one from a list of at least two. */
    static Candidate drawOther(List<Candidate> fit, Candidate excluded, RandomGenerator random) {
        return drawOther(fit, excluded, SpareCapacity::weight, random);
    }

    /**
     * Draws two candidates from a non-empty list, weighted by the calls a second that they can take in addition, and
     * returns the less utilised one. The utilisation of upstreams of different speeds thus stays about equal.
     */
    static Candidate drawByThroughput(List<Candidate> fit, double typicalNanos, RandomGenerator random) {
        ToDoubleFunction<Candidate> spare = c -> weight(c) * c.throughput(typicalNanos);
        Candidate a = drawOther(fit, null, spare, random);
        if (fit.size() == 1) {
            return a;
        }
        Candidate b = drawOther(fit, a, spare, random);
        return a.utilisation() <= b.utilisation() ? a : b;
    }

    private static Candidate drawOther(
            List<Candidate> fit, Candidate excluded, ToDoubleFunction<Candidate> weight, RandomGenerator random) {
        double total = 0;
        for (Candidate c : fit) {
            total += c == excluded ? 0 : weight.applyAsDouble(c);
        }
        double point = random.nextDouble() * total;
        Candidate last = fit.get(0);
        for (Candidate c : fit) {
            if (c == excluded) {
                continue;
            }
            last = c;
            point -= weight.applyAsDouble(c);
            if (point < 0) {
                return c;
            }
        }
        return last;
    }

    private static double weight(Candidate c) {
        return Math.max(MIN_WEIGHT, 1 - c.utilisation());
    }
}
