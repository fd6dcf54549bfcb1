package org.verbenadyke.kernel.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.verbenadyke.kernel.routing.Location;

/**
 * Selects the receivers of gossip: mostly nodes of the same data centre, sometimes one of another.
 */
final class PeerSelector {
    private static final int REMOTE_ONE_IN = 4;

    private final String self;
    private final Location location;
    private final RandomGenerator random;

    PeerSelector(String self, Location location, RandomGenerator random) {
        this.self = self;
        this.location = location;
        this.random = random;
    }

    /** Draws up to {@code count} different members at random, without this node. */
    List<MemberRecord> draw(List<MemberRecord> present, int count) {
        List<MemberRecord> near = new ArrayList<>();
        List<MemberRecord> far = new ArrayList<>();
        for (MemberRecord r : present) {
            if (!r.nodeId().equals(self)) {
                (r.location().equals(location) ? near : far).add(r);
            }
        }
        List<MemberRecord> drawn = new ArrayList<>(count);
        while (drawn.size() < count && !(near.isEmpty() && far.isEmpty())) {
            boolean remote = near.isEmpty() || !far.isEmpty() && random.nextInt(REMOTE_ONE_IN) == 0;
            List<MemberRecord> from = remote ? far : near;
            drawn.add(from.remove(random.nextInt(from.size())));
        }
        return drawn;
    }
}
