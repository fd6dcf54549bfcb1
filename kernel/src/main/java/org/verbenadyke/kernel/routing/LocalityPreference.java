package org.verbenadyke.kernel.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Keeps calls inside the data centre as long as no call takes noticeably longer for it.
 *
 * <p>Load pattern: if each call of a chain goes to any of three data centres, two in three bytes cross between data
 * centres, which is charged and slower. While the upstreams in the node's own data centre have spare capacity, they get
 * the calls; as their utilisation rises, a growing share of the calls goes to the upstream with the lowest expected
 * latency, so that no upstream is overloaded by its neighbours while others idle.
 */
final class LocalityPreference {
    /** Up to this utilisation, a local upstream gets every call for which its expected latency is low enough. */
    private static final double FULL_PREFERENCE_UTILISATION = 0.4;

    /** From this utilisation on, being local gives no preference: with a higher bound, its neighbours' calls queue. */
    private static final double NO_PREFERENCE_UTILISATION = 0.7;

    /** Maximum expected latency relative to the other candidate: within the spread of the answers of one upstream. */
    private static final double MAX_LATENCY_FACTOR = 1.25;

    private LocalityPreference() {}

    /** Returns a local candidate if it does about as well as the chosen one, otherwise the chosen one. */
    static Candidate preferLocal(Candidate chosen, List<Candidate> fit, double typical, RandomGenerator random) {
        if (chosen.local()) {
            return chosen;
        }
        List<Candidate> locals = new ArrayList<>(fit.size());
        for (Candidate c : fit) {
            if (c.local()) {
                locals.add(c);
            }
        }
        if (locals.isEmpty()) {
            return chosen;
        }
        Candidate other = SpareCapacity.draw(locals, random);
        double preference = (NO_PREFERENCE_UTILISATION - other.utilisation())
                / (NO_PREFERENCE_UTILISATION - FULL_PREFERENCE_UTILISATION);
        boolean fastEnough =
                other.expectedLatencyNanos(typical) <= MAX_LATENCY_FACTOR * chosen.expectedLatencyNanos(typical);
        return fastEnough && random.nextDouble() < preference ? other : chosen;
    }
}
