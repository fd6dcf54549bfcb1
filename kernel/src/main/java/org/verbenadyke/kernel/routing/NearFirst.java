package org.verbenadyke.kernel.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Keeps calls inside the data centre where nobody waits longer for it.
 *
 * <p>Load pattern: a chain of calls in which each goes to any data centre, so that with three of them two in three
 * bytes cross between them, which is paid for and slower. While the upstreams of the own data centre have room, they
 * get the calls; as they fill up, more and more calls go where they are answered first, so that none is overrun by its
 * neighbours while others idle.
 */
final class NearFirst {
    /** Up to this share of its places in use, a near upstream gets every call that it answers soon enough. */
    private static final double ROOM = 0.4;

    /** From this share on it gets none for being near: any later, and its neighbours' calls wait there. */
    private static final double FULL = 0.7;

    /** How much longer it may take than the one chosen without regard to place: within the spread of one's answers. */
    private static final double LONGER_MOST = 1.25;

    private NearFirst() {}

    /** Returns a near candidate if it does as well as the one chosen, else that one. */
    static Candidate instead(Candidate chosen, List<Candidate> fit, double typical, RandomGenerator random) {
        if (chosen.near()) {
            return chosen;
        }
        List<Candidate> near = new ArrayList<>(fit.size());
        for (Candidate c : fit) {
            if (c.near()) {
                near.add(c);
            }
        }
        if (near.isEmpty()) {
            return chosen;
        }
        Candidate other = SpareRoom.draw(near, random);
        double room = (FULL - other.utilisation()) / (FULL - ROOM);
        boolean soon = other.expectedLatencyNanos(typical) <= LONGER_MOST * chosen.expectedLatencyNanos(typical);
        return soon && random.nextDouble() < room ? other : chosen;
    }
}
