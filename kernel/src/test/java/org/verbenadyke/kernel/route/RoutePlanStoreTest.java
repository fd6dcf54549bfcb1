package org.verbenadyke.kernel.route;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.metrics.Counters;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link RoutePlanStore}. */
final class RoutePlanStoreTest {
    private final List<String> events = new ArrayList<>();
    private final RoutePlanStore store =
            RoutePlanStore.create(RoutePlanStoreTest::read, Counters.create(), new RecordingListener());

    @Test
    void neverAppliesAnOlderVersion() {
        offer("5");
        offer("3");
        offer("5");
        offer("9");
        assertEquals(9, store.version());
        assertEquals(List.of("5 after -1", "9 after 5"), events);
    }

    @Test
    void keepsTheCurrentPlanWhenADocumentIsInvalid() {
        offer("4");
        offer("not a number");
        offer("-7");
        assertEquals(4, store.version());
        assertEquals(List.of("4 after -1", "rejected 1", "rejected 1"), events);
        assertEquals("4", new String(store.document().orElseThrow().bytes(), StandardCharsets.US_ASCII));
    }

    @Test
    void isEmptyAtFirst() {
        assertEquals(RoutePlanStore.NO_VERSION, store.version());
        assertTrue(store.plan().isEmpty());
        assertTrue(store.document().isEmpty());
    }

    private void offer(String document) {
        store.offer(document.getBytes(StandardCharsets.US_ASCII), "test");
    }

    /** Parses a version; a negative one yields a plan with one problem. */
    private static RoutePlan read(byte[] document) {
        String text = new String(document, StandardCharsets.US_ASCII);
        if (!text.matches("-?\\d+")) {
            throw RoutePlanStore.unreadable(text);
        }
        long version = Long.parseLong(text);
        List<Route> routes = version < 0 ? List.of(RoutePlanTest.route("r", "h", "/", "unknown")) : List.of();
        return RoutePlan.of(Math.abs(version), routes, List.of(), RequestLimits.standard());
    }

    /** Records applied plans and rejected documents. */
    private final class RecordingListener implements RoutePlanStore.Listener {
        @Override
        public void applied(RoutePlan plan, long before, String source) {
            events.add(plan.version() + " after " + before);
        }

        @Override
        public void rejected(String source, List<String> problems) {
            events.add("rejected " + problems.size());
        }
    }
}
