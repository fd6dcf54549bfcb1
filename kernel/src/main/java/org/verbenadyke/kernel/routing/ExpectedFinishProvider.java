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
 * comparison keeps slow and filled ones for when the others are filled too. Where an upstream of the own data centre
 * answers about as soon, it gets the call, see {@link NearFirst}.
 */
public final class ExpectedFinishProvider implements ChooserProvider {
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
        Candidate a = SpareRoom.draw(fit, random);
        Candidate b = SpareRoom.drawOther(fit, a, random);
        Candidate sooner = a.expectedLatencyNanos(typical) <= b.expectedLatencyNanos(typical) ? a : b;
        return Optional.of(NearFirst.instead(sooner, fit, typical, random));
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
