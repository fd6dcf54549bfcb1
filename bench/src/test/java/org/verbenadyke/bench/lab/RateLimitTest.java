package org.verbenadyke.bench.lab;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that upstreams get no more requests than the limits that they name in their answers allow. */
final class RateLimitTest {
    private static final int SERVERS = 4;
    private static final double LOOKUPS_PER_SECOND = 430;

    /** Guards against sending an upstream several times the requests per second that its answers name. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void sendsNoMoreThanTheUpstreamNames(long seed) {
        AnnouncingFleet fleet = AnnouncingFleet.start(seed, SERVERS);
        fleet.generateLoad(LOOKUPS_PER_SECOND, 20 * Lab.SECOND);
        fleet.advance(4 * Lab.SECOND);
        fleet.limit(0, 44.9);
        fleet.limit(1, 30.2);
        fleet.advance(18 * Lab.SECOND);
        System.out.println("rate limit, seed " + seed + ": " + fleet);
        assertEquals(List.of(), fleet.violations());
        assertTrue(fleet.answeredShare() > 0.99, fleet.toString());
    }
}
