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

/** Tests {@link FollowDuty} on one node and in fleets on a virtual clock, where any node may lose the store. */
final class FollowDutyTest {
    private static final long MILLI = 1_000_000L;
    private static final long CHECK_NANOS = 100 * MILLI;
    private static final long ROUND_NANOS = 250 * MILLI;
    private static final int SEEDS = 20;
    private static final int MAX_LOCATIONS = 5;

    /** A change may take 2 s by the standard settings, of which spreading the update takes less than half a second. */
    private static final long MAX_UNREAD_NANOS = 1_500 * MILLI;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);

    @Test
    void followsWhileItIsTheOnlyNode() {
        Fleet fleet = new Fleet(1, 1, new SplittableRandom(1));
        fleet.run(2_000);
        assertTrue(fleet.nodes.getFirst().following);
    }

    @Test
    void reportsNoFollowerBeforeOneIsKnown() {
        Fleet fleet = new Fleet(1, 1, new SplittableRandom(1));
        assertEquals(
                PlanCurrency.NEVER_MILLIS,
                fleet.nodes.getFirst().duty.currency().ageMillis());
    }

    @Test
    void spreadsTheFollowersOverDataCentres() {
        assertEquals(6, followers(96, 3));
        assertEquals(5, followers(96, 5));
        assertEquals(8, followers(96, 8));
        assertEquals(6, followers(13, 1));
    }

    private long followers(int nodes, int locations) {
        Fleet fleet = new Fleet(nodes, locations, new SplittableRandom(1));
        fleet.run(9_000);
        return fleet.nodes.stream().filter(n -> n.following).count();
    }

    @Test
    void keepsAFollowerWhenAnyThirdOfTheNodesLosesTheStore() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Fleet fleet = new Fleet(random.nextInt(13, 97), random.nextInt(3, MAX_LOCATIONS + 1), random);
            fleet.run(5_000);
            for (int i = 0; i < 4; i++) {
                fleet.nodes.forEach(n -> n.storeLost = random.nextInt(3) == 0);
                assertTrue(fleet.longestUnread(6_000) <= MAX_UNREAD_NANOS, "seed " + seed);
            }
        }
    }

    @Test
    void findsAFollowerWhenOnlyTheFollowersLoseTheStore() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Fleet fleet = new Fleet(random.nextInt(13, 97), random.nextInt(3, MAX_LOCATIONS + 1), random);
            fleet.run(5_000);
            fleet.nodes.forEach(n -> n.storeLost = n.following);
            assertTrue(fleet.longestUnread(10_000) <= MAX_UNREAD_NANOS, "seed " + seed);
        }
    }

    /** All followers and a third of the other nodes of 18 data centres lose the store. */
    @Test
    void readsInTimeInALargeFleet() {
        SplittableRandom random = new SplittableRandom(1_600);
        Fleet fleet = new Fleet(1_600, 18, random);
        fleet.run(4_000);
        fleet.nodes.forEach(n -> n.storeLost = n.following || random.nextInt(3) == 0);
        assertTrue(fleet.longestUnread(4_000) <= MAX_UNREAD_NANOS);
    }

    @Test
    void limitsStoreRequestsDuringAnOutageWhateverTheFleetSize() {
        Fleet small = new Fleet(30, MAX_LOCATIONS, new SplittableRandom(1));
        Fleet large = new Fleet(300, MAX_LOCATIONS, new SplittableRandom(1));
        assertTrue(large.triesWithoutStore(9_000) <= small.triesWithoutStore(9_000) * 3 / 2);
    }

    @Test
    void isNoFollowerWhileDraining() {
        Fleet fleet = new Fleet(1, 1, new SplittableRandom(1));
        fleet.run(2_000);
        fleet.nodes.getFirst().state = MemberState.DRAINING;
        assertFalse(fleet.nodes.getFirst().duty.isFollower());
    }

    private static MemberRecord member(int i, int locations, MemberState state) {
        Endpoint at = new Endpoint("10.0." + i / 256 + "." + i % 256, 1);
        return new MemberRecord("n" + i, 1, 0, state, at, at, new Location("r", "d" + i % locations), "", 0, 0);
    }

    /** Nodes that know each other, exchange the ages of their plans, and may lose the store. */
    private final class Fleet {
        private final List<Node> nodes = new ArrayList<>();
        private final SplittableRandom random;
        private long lastAnswerNanos = clock.nanos();

        private Fleet(int size, int locations, SplittableRandom random) {
            this.random = random;
            MemberTable table = MemberTable.empty();
            for (int i = 0; i < size; i++) {
                table.merge(member(i, locations, MemberState.ALIVE), clock.nanos());
            }
            for (int i = 0; i < size; i++) {
                nodes.add(new Node(this, i, locations, table));
            }
            for (Node n : nodes) {
                clock.after(random.nextLong(CHECK_NANOS), () -> clock.every(CHECK_NANOS, n::check));
                clock.after(random.nextLong(ROUND_NANOS), () -> clock.every(ROUND_NANOS, () -> gossipWithOne(n)));
            }
        }

        private void gossipWithOne(Node node) {
            Node other = nodes.get(random.nextInt(nodes.size()));
            int age = node.duty.currency().ageMillis();
            node.duty.currency().heard(1, other.duty.currency().ageMillis());
            other.duty.currency().heard(1, age);
        }

        private void run(long millis) {
            clock.advance(millis * MILLI);
        }

        /** Returns the longest time in which no node had an answer of the store. */
        private long longestUnread(long millis) {
            long longest = 0;
            for (long t = 0; t < millis; t += 10) {
                run(10);
                longest = Math.max(longest, clock.nanos() - lastAnswerNanos);
            }
            return longest;
        }

        private int triesWithoutStore(long millis) {
            run(5_000);
            nodes.forEach(n -> n.storeLost = true);
            nodes.forEach(n -> n.tries = 0);
            run(millis);
            return nodes.stream().mapToInt(n -> n.tries).sum();
        }
    }

    /** A node that reads, and learns of a lost store only at the end of its poll. */
    private final class Node {
        private static final long RETRY_NANOS = 2_000 * MILLI;

        private final Fleet fleet;
        private final FollowDuty duty;
        private final int number;
        private final int locations;
        private MemberState state = MemberState.ALIVE;
        private boolean storeLost;
        private boolean following;
        private long pollEnd;
        private long notBefore;
        private int tries;

        private Node(Fleet fleet, int number, int locations, MemberTable table) {
            this.fleet = fleet;
            this.number = number;
            this.locations = locations;
            this.duty = FollowDuty.of(
                    clock,
                    FollowSettings.standard(),
                    () -> member(number, locations, state),
                    table,
                    VersionedPlans.at(1));
        }

        private void check() {
            duty.currency().tick();
            if (following && clock.nanos() >= pollEnd) {
                read();
            } else if (!following && clock.nanos() >= notBefore && duty.shouldStart()) {
                tries++;
                read();
            }
        }

        private void read() {
            if (storeLost) {
                following = false;
                notBefore = clock.nanos() + RETRY_NANOS;
                return;
            }
            fleet.lastAnswerNanos = clock.nanos();
            duty.currency().confirmed(clock.nanos());
            following = duty.keepsReading();
            pollEnd = clock.nanos() + duty.pollMillis(fleet.random) * MILLI;
        }
    }
}
