package org.verbenadyke.kernel.route;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.metrics.Counters;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link RoutePlanStore}. */
final class PlanKeeperTest {
    private final List<String> told = new ArrayList<>();
    private final RoutePlanStore keeper = RoutePlanStore.create(PlanKeeperTest::read, Counters.create(), new Told());

    @Test
    void neverGoesBack() {
        offer("5");
        offer("3");
        offer("5");
        offer("9");
        assertEquals(9, keeper.version());
        assertEquals(List.of("5 after -1", "9 after 5"), told);
    }

    @Test
    void keepsTheLastWhenADocumentIsUnusable() {
        offer("4");
        offer("not a number");
        offer("-7");
        assertEquals(4, keeper.version());
        assertEquals(List.of("4 after -1", "rejected 1", "rejected 1"), told);
        assertEquals("4", new String(keeper.document().orElseThrow().bytes(), StandardCharsets.US_ASCII));
    }

    @Test
    void hasNothingAtFirst() {
        assertEquals(RoutePlanStore.NO_VERSION, keeper.version());
        assertTrue(keeper.plan().isEmpty());
        assertTrue(keeper.document().isEmpty());
    }

    private void offer(String document) {
        keeper.offer(document.getBytes(StandardCharsets.US_ASCII), "test");
    }

    /** Reads a version; a negative one makes a plan with one fault. */
    private static RoutePlan read(byte[] document) {
        String text = new String(document, StandardCharsets.US_ASCII);
        if (!text.matches("-?\\d+")) {
            throw RoutePlanStore.unreadable(text);
        }
        long version = Long.parseLong(text);
        List<Route> routes = version < 0 ? List.of(RoutePlanTest.route("r", "h", "/", "unknown")) : List.of();
        return RoutePlan.of(Math.abs(version), routes, List.of(), RequestLimits.standard());
    }

    /** Notes what is told. */
    private final class Told implements RoutePlanStore.Listener {
        @Override
        public void applied(RoutePlan plan, long before, String source) {
            told.add(plan.version() + " after " + before);
        }

        @Override
        public void rejected(String source, List<String> problems) {
            told.add("rejected " + problems.size());
        }
    }
}
