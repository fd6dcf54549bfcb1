package org.verbenadyke.bench.lab;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that upstreams which state in their answers that they are leaving get no new work. */
final class LeavingNoticeTest {
    private static final int SERVERS = 4;
    private static final double LOOKUPS_PER_SECOND = 430;

    /** Guards against sending work to an upstream that announces its departure in answers only. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void sendsNothingToAnUpstreamThatIsLeaving(long seed) {
        AnnouncingFleet fleet = AnnouncingFleet.startLoaded(seed, SERVERS, LOOKUPS_PER_SECOND, 12, 4);
        fleet.leave(0);
        fleet.advance(10 * Lab.SECOND);
        System.out.println("leaving notice, seed " + seed + ": " + fleet);
        assertEquals(List.of(), fleet.violations());
        assertTrue(fleet.answeredShare() > 0.99, fleet.toString());
    }

    /** Guards against a node that forgets when it restarts that its upstream is leaving, while the senders go on. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void sendsNothingToALeavingUpstreamWhoseNodeRestarts(long seed) {
        AnnouncingFleet fleet = AnnouncingFleet.startLoaded(seed, SERVERS, LOOKUPS_PER_SECOND, 20, 2);
        fleet.leave(0);
        fleet.advance(4 * Lab.SECOND);
        fleet.restartNode(0);
        fleet.advance(5 * Lab.SECOND);
        fleet.restartNode(0);
        fleet.advance(8 * Lab.SECOND);
        System.out.println("leaving notice, node restarted, seed " + seed + ": " + fleet);
        assertEquals(List.of(), fleet.violations());
        assertTrue(fleet.answeredShare() > 0.99, fleet.toString());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void sendsWorkToTheProcessThatReplacesOneThatLeft(long seed) {
        AnnouncingFleet fleet = AnnouncingFleet.startLoaded(seed, SERVERS, LOOKUPS_PER_SECOND, 20, 2);
        fleet.leave(0);
        fleet.advance(4 * Lab.SECOND);
        fleet.replaceProcess(0);
        fleet.advance(4 * Lab.SECOND);
        long before = fleet.upstream(0).arrivals();
        fleet.advance(5 * Lab.SECOND);
        long arrived = fleet.upstream(0).arrivals() - before;
        System.out.println("leaving notice, replaced, then " + arrived + " in 5 s, seed " + seed + ": " + fleet);
        assertTrue(arrived > LOOKUPS_PER_SECOND / SERVERS * 5 / 2, arrived + " arrived");
    }
}
