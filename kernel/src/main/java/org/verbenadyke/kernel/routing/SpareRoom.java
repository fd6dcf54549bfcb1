package org.verbenadyke.kernel.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Draws candidates, those with more spare room more often, so that many nodes with the same reports don't all choose
 * the same one.
 */
final class SpareRoom {
    /** The least weight in the draw, so that a filled candidate is still heard of. */
    private static final double WEIGHT_LEAST = 0.05;

    private SpareRoom() {}

    /** Draws one of at least one. */
    static Candidate draw(List<Candidate> fit, RandomGenerator random) {
        return drawOther(fit, null, random);
    }

    /** Draws one of at least two that isn't the one drawn before. */
    static Candidate drawOther(List<Candidate> fit, Candidate except, RandomGenerator random) {
        double total = 0;
        for (Candidate c : fit) {
            total += c == except ? 0 : weight(c);
        }
        double point = random.nextDouble() * total;
        Candidate last = fit.get(0);
        for (Candidate c : fit) {
            if (c == except) {
                continue;
            }
            last = c;
            point -= weight(c);
            if (point < 0) {
                return c;
            }
        }
        return last;
    }

    private static double weight(Candidate c) {
        return Math.max(WEIGHT_LEAST, 1 - c.utilisation());
    }
}
