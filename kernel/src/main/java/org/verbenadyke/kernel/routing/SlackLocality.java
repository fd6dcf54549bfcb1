package org.verbenadyke.kernel.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Keeps calls that have enough time inside the data centre up to a high utilisation; calls that are short of time are
 * left to another chooser.
 *
 * <p>Load pattern: chains whose calls cross between data centres although upstreams nearby have free slots, and
 * upstreams of uneven speed. A caller needs its answer by the due time, not as early as possible, so a call that is due
 * much later than its expected answer loses nothing by staying, nor by going to a slow upstream. Such calls are spread
 * in proportion to what each upstream can take in addition, which leaves the fast upstreams to calls that are short of
 * time. The preference is a probability that falls as the near upstream fills: many nodes decide at the same time from
 * reports that are some milliseconds old, and a fixed bound would move all of their calls at once.
 */
final class SlackLocality implements Chooser {
    /** Up to this utilisation, a near upstream gets every call that has enough time. */
    private static final double FULL_PREFERENCE_UTILISATION = 0.7;

    /** From this utilisation on, being near gives no preference: slots are filled up to 94 %, then calls queue. */
    private static final double NO_PREFERENCE_UTILISATION = 0.92;

    /**
     * Minimum time left, in expected latencies of the near upstream: an answer that takes twice as long as expected is
     * still in time. With 4, direct requests of callers, whose target is three times their work, would never qualify.
     */
    private static final double MIN_TIME_LEFT_FACTOR = 2;

    /**
     * How much less utilised an upstream must be that a call leaves the near one for. Reports of two equally loaded
     * upstreams with some tens of slots differ by about as much, and crossing to an upstream that is as full saves no
     * time.
     */
    private static final double MIN_UTILISATION_GAIN = 0.1;

    private final Chooser other;

    private SlackLocality(Chooser other) {
        this.other = other;
    }

    /** Creates a chooser that leaves calls without enough time to another one. */
    static SlackLocality over(Chooser other) {
        return new SlackLocality(other);
    }

    @Override
    public Optional<Candidate> choose(List<Candidate> fit, RandomGenerator random) {
        return other.choose(fit, random);
    }

    @Override
    public Optional<Candidate> choose(List<Candidate> fit, RouteQuery query, long nowNanos, RandomGenerator random) {
        List<Candidate> healthy = fit.stream()
                .filter(c -> c.accepting() && !c.ejected(nowNanos) && !c.impaired())
                .toList();
        List<Candidate> near = healthy.stream().filter(Candidate::local).toList();
        if (near.isEmpty()) {
            return other.choose(fit, random);
        }
        double typical = TypicalLatency.of(fit);
        Candidate preferred = SpareCapacity.drawByThroughput(near, typical, random);
        if (query.timeLeftNanos() < MIN_TIME_LEFT_FACTOR * preferred.expectedLatencyNanos(typical)) {
            return other.choose(fit, random);
        }
        if (random.nextDouble() < preference(preferred)) {
            return Optional.of(preferred);
        }
        Candidate drawn = SpareCapacity.drawByThroughput(healthy, typical, random);
        boolean lessUtilised = drawn.utilisation() < preferred.utilisation() - MIN_UTILISATION_GAIN;
        return Optional.of(lessUtilised ? drawn : preferred);
    }

    /** Returns the probability with which a near upstream is chosen outright; 0 or less when it is full. */
    private static double preference(Candidate near) {
        return (NO_PREFERENCE_UTILISATION - near.utilisation())
                / (NO_PREFERENCE_UTILISATION - FULL_PREFERENCE_UTILISATION);
    }
}
