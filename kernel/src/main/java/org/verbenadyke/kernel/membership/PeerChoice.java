package org.verbenadyke.kernel.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.routing.Location;

/**
 * Chooses whom to tell: mostly nodes of the own data centre, now and then one elsewhere.
 */
final class PeerChoice {
    private static final int ELSEWHERE_ONE_IN = 4;

    private final String self;
    private final Location place;
    private final RandomGenerator random;

    PeerChoice(String self, Location place, RandomGenerator random) {
        this.self = self;
        this.place = place;
        this.random = random;
    }

    /** Draws up to so many different members out of those present. */
    List<MemberRecord> draw(List<MemberRecord> present, int count) {
        List<MemberRecord> near = new ArrayList<>();
        List<MemberRecord> far = new ArrayList<>();
        for (MemberRecord r : present) {
            if (!r.nodeId().equals(self)) {
                (r.location().equals(place) ? near : far).add(r);
            }
        }
        List<MemberRecord> drawn = new ArrayList<>(count);
        while (drawn.size() < count && !(near.isEmpty() && far.isEmpty())) {
            boolean elsewhere = near.isEmpty() || !far.isEmpty() && random.nextInt(ELSEWHERE_ONE_IN) == 0;
            List<MemberRecord> from = elsewhere ? far : near;
            drawn.add(from.remove(random.nextInt(from.size())));
        }
        return drawn;
    }
}
