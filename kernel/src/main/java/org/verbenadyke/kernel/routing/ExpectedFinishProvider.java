package org.verbenadyke.kernel.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Provides the chooser {@code expected-finish}: draws two candidates, weighted by spare capacity, and chooses the one
 * with the lower expected latency.
 *
 * <p>Load pattern: upstreams of one service differ in speed, and many nodes choose concurrently from reports that are
 * some milliseconds old. The weighted draw keeps the nodes from all choosing the same upstream between two reports; the
 * comparison avoids slow and highly utilised upstreams until the others are highly utilised too. An upstream in the
 * node's own data centre is preferred if its expected latency is about the same, see {@link LocalityPreference}.
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
        double typical = TypicalLatency.of(fit);
        Candidate a = SpareCapacity.draw(fit, random);
        Candidate b = SpareCapacity.drawOther(fit, a, random);
        Candidate faster = a.expectedLatencyNanos(typical) <= b.expectedLatencyNanos(typical) ? a : b;
        return Optional.of(LocalityPreference.preferLocal(faster, fit, typical, random));
    }
}
