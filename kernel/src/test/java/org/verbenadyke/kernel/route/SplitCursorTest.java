package org.verbenadyke.kernel.route;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link TrafficSplitter}. */
final class SplitCursorTest {
    private static final int MOST_OFF = 2;

    @Test
    void keepsCloseToTheWeightsAtEveryLength() {
        Route route = split(new ServiceShare("a", 90), new ServiceShare("b", 10));
        for (int start : new int[] {0, 1, -5, Integer.MAX_VALUE, 123_456_789}) {
            TrafficSplitter cursor = TrafficSplitter.startingAt(start);
            int minor = 0;
            for (int n = 1; n <= 1_000; n++) {
                minor += cursor.nextService(route).equals("b") ? 1 : 0;
                assertTrue(Math.abs(minor - n / 10.0) <= MOST_OFF, minor + " of " + n + " from " + start);
            }
        }
    }

    @Test
    void givesNothingToAPartWithoutWeight() {
        Route route = split(new ServiceShare("a", 0), new ServiceShare("b", 3), new ServiceShare("c", 0));
        TrafficSplitter cursor = TrafficSplitter.startingAt(-1);
        for (int n = 0; n < 100; n++) {
            assertEquals("b", cursor.nextService(route));
        }
    }

    private static Route split(ServiceShare... shares) {
        return new Route("r", "h", "/", List.of(shares), RequestKind.IDEMPOTENT, 1, 1, 1, 1, false);
    }
}
