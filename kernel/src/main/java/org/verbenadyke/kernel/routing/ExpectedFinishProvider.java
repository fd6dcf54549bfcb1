package org.verbenadyke.kernel.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Registers {@code expected-finish}: of two candidates drawn by their spare room, the one that is expected to answer
 * first.
 *
 * <p>Load pattern: upstreams of one service differ in speed, and many nodes choose at once from reports that are some
 * milliseconds old. The draw by spare room keeps them from all choosing the same one between two reports; the
 * comparison keeps slow and filled ones for when the others are filled too.
 */
public final class ExpectedFinishProvider implements ChooserProvider {
    /** The least weight in the draw, so that a filled candidate is still heard of. */
    private static final double WEIGHT_LEAST = 0.05;

    @Override
    public String name() {
        return "expected-finish";
    }

    @Override
    public Chooser create() {
        return ExpectedFinishProvider::choose;
    }

    private static Optional<Candidate> choose(List<Candidate> fit, RandomGenerator random) {
        if (fit.isEmpty()) {
            return Optional.empty();
        }
        if (fit.size() == 1) {
            return Optional.of(fit.get(0));
        }
        double typical = typical(fit);
        Candidate a = draw(fit, null, random);
        Candidate b = draw(fit, a, random);
        return Optional.of(a.expectedNanos(typical) <= b.expectedNanos(typical) ? a : b);
    }

    private static Candidate draw(List<Candidate> fit, Candidate except, RandomGenerator random) {
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

    /** The mean latency of those that are known, which stands in for those that are not. */
    private static double typical(List<Candidate> fit) {
        double sum = 0;
        int known = 0;
        for (Candidate c : fit) {
            if (c.latencyNanos() > 0) {
                sum += c.latencyNanos();
                known++;
            }
        }
        return known == 0 ? 1 : sum / known;
    }
}
