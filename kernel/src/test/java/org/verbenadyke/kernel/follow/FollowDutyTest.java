package org.verbenadyke.kernel.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link FollowDuty}, alone and in fleets on a virtual clock of which any nodes may lose the store. */
final class FollowDutyTest {
    private static final long MILLI = 1_000_000L;
    private static final long LOOK_NANOS = 100 * MILLI;
    private static final long ROUND_NANOS = 250 * MILLI;
    private static final int SEEDS = 20;
    private static final int PLACES = 5;

    /** What a change may take: 3 s on a fleet of this size, of which its news takes less than half a second. */
    private static final long UNREAD_MOST_NANOS = 2_500 * MILLI;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);

    @Test
    void readsWhileItIsAlone() {
        Fleet fleet = new Fleet(1, 1, new SplittableRandom(1));
        fleet.run(2_000);
        assertTrue(fleet.nodes.getFirst().reading);
    }

    @Test
    void tellsNoReaderBeforeOneIsKnown() {
        Fleet fleet = new Fleet(1, 1, new SplittableRandom(1));
        assertEquals(FollowDuty.NEVER_MILLIS, fleet.nodes.getFirst().duty.followerAgeMillis());
    }

    @Test
    void sharesTheReadersByDataCentres() {
        assertEquals(6, readers(96, 3));
        assertEquals(5, readers(96, 5));
        assertEquals(8, readers(96, 8));
        assertEquals(6, readers(13, 1));
    }

    private long readers(int nodes, int places) {
        Fleet fleet = new Fleet(nodes, places, new SplittableRandom(1));
        fleet.run(9_000);
        return fleet.nodes.stream().filter(n -> n.reading).count();
    }

    @Test
    void keepsAReaderWhenAnyThirdOfTheNodesLosesTheStore() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Fleet fleet = new Fleet(random.nextInt(13, 97), random.nextInt(3, PLACES + 1), random);
            fleet.run(5_000);
            for (int i = 0; i < 4; i++) {
                fleet.nodes.forEach(n -> n.cut = random.nextInt(3) == 0);
                assertTrue(fleet.longestUnread(6_000) <= UNREAD_MOST_NANOS, "seed " + seed);
            }
        }
    }

    @Test
    void findsAReaderWhenJustTheReadersLoseTheStore() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Fleet fleet = new Fleet(random.nextInt(13, 97), random.nextInt(3, PLACES + 1), random);
            fleet.run(5_000);
            fleet.nodes.forEach(n -> n.cut = n.reading);
            assertTrue(fleet.longestUnread(10_000) <= UNREAD_MOST_NANOS, "seed " + seed);
        }
    }

    @Test
    void asksTheStoreNoMoreOftenWithMoreNodesWhileItIsAway() {
        Fleet small = new Fleet(30, PLACES, new SplittableRandom(1));
        Fleet large = new Fleet(300, PLACES, new SplittableRandom(1));
        assertTrue(large.triesWithoutStore(9_000) <= small.triesWithoutStore(9_000) * 3 / 2);
    }

    @Test
    void leavesTheDutyWhenItDrains() {
        Fleet fleet = new Fleet(1, 1, new SplittableRandom(1));
        fleet.run(2_000);
        fleet.nodes.getFirst().state = MemberState.DRAINING;
        assertFalse(fleet.nodes.getFirst().duty.reader());
    }

    private static MemberRecord member(int i, int places, MemberState state) {
        Endpoint at = new Endpoint("10.0.0." + i, 1);
        return new MemberRecord("n" + i, 1, 0, state, at, at, new Location("r", "d" + i % places), "", 0, 0);
    }

    /** Nodes that know each other, tell each other the age of the last sign of a reader, and may lose the store. */
    private final class Fleet {
        private final List<Node> nodes = new ArrayList<>();
        private final SplittableRandom random;

        private Fleet(int size, int places, SplittableRandom random) {
            this.random = random;
            MemberTable table = MemberTable.empty();
            for (int i = 0; i < size; i++) {
                table.merge(member(i, places, MemberState.ALIVE), clock.nanos());
            }
            for (int i = 0; i < size; i++) {
                nodes.add(new Node(i, places, table));
            }
            for (Node n : nodes) {
                clock.after(random.nextLong(LOOK_NANOS), () -> clock.every(LOOK_NANOS, n::look));
                clock.after(random.nextLong(ROUND_NANOS), () -> clock.every(ROUND_NANOS, () -> tellOne(n)));
            }
        }

        private void tellOne(Node node) {
            Node other = nodes.get(random.nextInt(nodes.size()));
            int told = node.duty.followerAgeMillis();
            node.duty.heard(other.duty.followerAgeMillis());
            other.duty.heard(told);
        }

        private void run(long millis) {
            clock.advance(millis * MILLI);
        }

        private long longestUnread(long millis) {
            long longest = 0;
            long unread = 0;
            for (long t = 0; t < millis; t += 10) {
                run(10);
                boolean read = nodes.stream().anyMatch(n -> n.reading && !n.cut);
                unread = read ? 0 : unread + 10 * MILLI;
                longest = Math.max(longest, unread);
            }
            return longest;
        }

        private int triesWithoutStore(long millis) {
            run(5_000);
            nodes.forEach(n -> n.cut = true);
            nodes.forEach(n -> n.tries = 0);
            run(millis);
            return nodes.stream().mapToInt(n -> n.tries).sum();
        }
    }

    /** A node that reads in spells of some seconds, and notices at once that it is turned away. */
    private final class Node {
        private final FollowDuty duty;
        private final int number;
        private final int places;
        private MemberState state = MemberState.ALIVE;
        private boolean cut;
        private boolean reading;
        private long until;
        private long notBefore;
        private int tries;

        private Node(int number, int places, MemberTable table) {
            this.number = number;
            this.places = places;
            this.duty = FollowDuty.of(
                    clock, FollowSettings.standard(), () -> member(number, places, state), table, () -> true);
        }

        private void look() {
            if (reading && cut) {
                stop();
                notBefore = clock.nanos() + 2_000 * MILLI;
            }
            if (reading && clock.nanos() >= until && !duty.designated()) {
                stop();
            }
            if (!reading && clock.nanos() >= notBefore && duty.shouldStart()) {
                tries++;
                reading = !cut;
                duty.setFollowing(reading);
                until = clock.nanos() + 6_000 * MILLI;
                notBefore = clock.nanos() + (cut ? 2_000 * MILLI : 0);
            }
        }

        private void stop() {
            reading = false;
            duty.setFollowing(false);
        }
    }
}
