package org.verbenadyke.bench.lab;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that upstreams get no more requests than the limits that they name in their answers allow. */
final class RateLimitTest {
    private static final int SERVERS = 4;
    private static final double LOOKUPS_PER_SECOND = 430;
    private static final double FAIR_SHARE_IN_FIVE_SECONDS = LOOKUPS_PER_SECOND / SERVERS * 5;

    /** Guards against sending an upstream several times the requests per second that its answers name. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void sendsNoMoreThanTheUpstreamNames(long seed) {
        AnnouncingFleet fleet = AnnouncingFleet.startLoaded(seed, SERVERS, LOOKUPS_PER_SECOND, 20, 4);
        fleet.limit(0, 44.9);
        fleet.limit(1, 30.2);
        fleet.advance(18 * Lab.SECOND);
        report("two upstreams", seed, fleet);
        assertEquals(List.of(), fleet.violations());
        assertTrue(fleet.answeredShare() > 0.99, fleet.toString());
    }

    /** Guards against a node that forgets the limit of its upstream when it restarts, while the senders go on. */
    @ParameterizedTest
    @CsvSource({"1, 30.2", "2, 30.2", "3, 2", "4, 2", "5, 0", "6, 0.3"})
    void keepsTheLimitWhenTheNodeBesideTheUpstreamRestarts(long seed, double limit) {
        AnnouncingFleet fleet = loaded(seed, 30);
        fleet.limit(0, limit);
        for (int i = 0; i < 5; i++) {
            fleet.advance(3_700 * Lab.MILLI);
            fleet.restartNode(0);
        }
        fleet.advance(8 * Lab.SECOND);
        report("node restarted, limit " + limit, seed, fleet);
        assertEquals(List.of(), fleet.violations());
    }

    @ParameterizedTest
    @CsvSource({"1, 30.2", "2, 2", "3, 0"})
    void keepsTheLimitWhenTheNodeBesideTheUpstreamIsPausedOrIsolated(long seed, double limit) {
        AnnouncingFleet fleet = loaded(seed, 30);
        fleet.limit(0, limit);
        fleet.advance(5 * Lab.SECOND);
        fleet.pauseNode(0, 2_500 * Lab.MILLI);
        fleet.advance(6 * Lab.SECOND);
        fleet.isolate(0, 6 * Lab.SECOND);
        fleet.advance(14 * Lab.SECOND);
        report("node paused and isolated, limit " + limit, seed, fleet);
        assertEquals(List.of(), fleet.violations());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void followsALimitThatIsLoweredAndRaised(long seed) {
        AnnouncingFleet fleet = loaded(seed, 30);
        fleet.limit(0, 60);
        fleet.advance(6 * Lab.SECOND);
        fleet.limit(0, 20);
        fleet.advance(6 * Lab.SECOND);
        fleet.limit(0, 5);
        fleet.advance(6 * Lab.SECOND);
        fleet.limit(0, 80);
        fleet.advance(6 * Lab.SECOND);
        report("limit lowered and raised", seed, fleet);
        assertEquals(List.of(), fleet.violations());
        assertTrue(fleet.answeredShare() > 0.99, fleet.toString());
    }

    /** A quarter of the load fits: the limits must be used, and the rest refused as not run. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void usesTheLimitsOfAllUpstreamsWhenMoreIsAskedFor(long seed) {
        AnnouncingFleet fleet = loaded(seed, 30);
        fleet.advance(2 * Lab.SECOND);
        for (int i = 0; i < SERVERS; i++) {
            fleet.limit(i, 27);
        }
        fleet.advance(5 * Lab.SECOND);
        long before = fleet.arrivals();
        fleet.advance(15 * Lab.SECOND);
        long arrived = fleet.arrivals() - before;
        report("all limited, " + arrived + " of " + SERVERS * 27 * 15 + " arrived", seed, fleet);
        assertEquals(List.of(), fleet.violations());
        assertTrue(arrived > 0.9 * SERVERS * 27 * 15, arrived + " arrived");
    }

    /** A third of the lookups fits; a lookup that loses one of its four calls to the limit has wasted the others. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void finishesWholeRequestsWhenADeeperServiceIsLimited(long seed) {
        AnnouncingFleet fleet = AnnouncingFleet.startDeep(seed, SERVERS);
        fleet.generateLoad(300, 25 * Lab.SECOND);
        fleet.advance(3 * Lab.SECOND);
        for (int i = 0; i < SERVERS; i++) {
            fleet.limit(i, 100);
        }
        fleet.advance(5 * Lab.SECOND);
        int before = fleet.answered();
        long arrivedBefore = fleet.arrivals();
        fleet.advance(15 * Lab.SECOND);
        int answered = fleet.answered() - before;
        long arrived = fleet.arrivals() - arrivedBefore;
        report("deeper service limited, " + answered + " lookups and " + arrived + " calls in 15 s", seed, fleet);
        assertEquals(List.of(), fleet.violations());
        assertTrue(answered > 0.7 * SERVERS * 100 / 4 * 15, answered + " answered");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void endsALimitThatIsNamedAndTakenBackTenTimes(long seed) {
        AnnouncingFleet fleet = loaded(seed, 30);
        for (int i = 0; i < 10; i++) {
            fleet.limit(0, 10);
            fleet.advance(500 * Lab.MILLI);
            fleet.limit(0, Double.POSITIVE_INFINITY);
            fleet.advance(500 * Lab.MILLI);
        }
        fleet.advance(5 * Lab.SECOND);
        long before = fleet.upstream(0).arrivals();
        fleet.advance(5 * Lab.SECOND);
        long arrived = fleet.upstream(0).arrivals() - before;
        report("named and taken back, then " + arrived + " in 5 s", seed, fleet);
        assertTrue(arrived > FAIR_SHARE_IN_FIVE_SECONDS / 2, arrived + " arrived");
        assertTrue(fleet.answeredShare() > 0.99, fleet.toString());
    }

    /** An upstream at a limit of 0 has hardly an answer in which it could end the limit. */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "3, 0.3"})
    void endsALimitOfAnUpstreamThatGetsNextToNothing(long seed, double limit) {
        AnnouncingFleet fleet = loaded(seed, 30);
        fleet.limit(0, limit);
        fleet.advance(10 * Lab.SECOND);
        fleet.limit(0, Double.POSITIVE_INFINITY);
        fleet.advance(6 * Lab.SECOND);
        long before = fleet.upstream(0).arrivals();
        fleet.advance(5 * Lab.SECOND);
        long arrived = fleet.upstream(0).arrivals() - before;
        report("limit " + limit + " ended, then " + arrived + " in 5 s", seed, fleet);
        assertTrue(arrived > FAIR_SHARE_IN_FIVE_SECONDS / 2, arrived + " arrived");
        assertTrue(fleet.answeredShare() > 0.99, fleet.toString());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void anotherProcessBesideTheNodeHasNoLimit(long seed) {
        AnnouncingFleet fleet = loaded(seed, 30);
        fleet.limit(0, 1);
        fleet.advance(6 * Lab.SECOND);
        fleet.replaceProcess(0);
        fleet.advance(5 * Lab.SECOND);
        long before = fleet.upstream(0).arrivals();
        fleet.advance(5 * Lab.SECOND);
        long arrived = fleet.upstream(0).arrivals() - before;
        report("process replaced, then " + arrived + " in 5 s", seed, fleet);
        assertTrue(arrived > FAIR_SHARE_IN_FIVE_SECONDS / 2, arrived + " arrived");
    }

    private static AnnouncingFleet loaded(long seed, long seconds) {
        return AnnouncingFleet.startLoaded(seed, SERVERS, LOOKUPS_PER_SECOND, seconds, 3);
    }

    private static void report(String scenario, long seed, AnnouncingFleet fleet) {
        System.out.println("rate limit, " + scenario + ", seed " + seed + ": " + fleet);
    }
}
