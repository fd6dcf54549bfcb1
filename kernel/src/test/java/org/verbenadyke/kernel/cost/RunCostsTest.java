package org.verbenadyke.kernel.cost;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link RunCosts}. */
final class RunCostsTest {
    private static final CallCounts CALLS = CallCounts.of("middle", 2).plus(CallCounts.of("deep", 8));

    private final RunCosts costs = RunCosts.empty();
    private long now;

    @Test
    void knowsNothingOfAKindWithoutAnswers() {
        record(CALLS, 1);
        assertEquals(Optional.empty(), costs.of("front", "GET /other"));
        assertEquals(Optional.empty(), costs.of("middle", "GET /p"));
    }

    @Test
    void countsTheRunAndItsCalls() {
        record(CALLS, 5);
        assertEquals(
                CALLS.plusOne("front"),
                sorted(costs.of("front", "GET /p").orElseThrow().calls()));
        assertEquals(100, costs.of("front", "GET /p").orElseThrow().nanos());
    }

    /** The runs that fail are often those with most calls; their mean would let through twice what is charged. */
    @Test
    void takesTheLargestNumberSeenLately() {
        record(CallCounts.of("deep", 2), 20);
        record(CALLS, 1);
        assertEquals(8, callsAt("deep"));
        record(CallCounts.NONE, 1);
        assertEquals(8, callsAt("deep"));
        record(CallCounts.of("deep", 2), 300);
        assertEquals(2, callsAt("deep"));
        assertEquals(0, callsAt("middle"));
    }

    /** A chain with more services than are counted would be charged too little. */
    @Test
    void doesNotKnowAChainOfTooManyServices() {
        CallCounts many = CallCounts.NONE;
        for (int i = 0; i < CallCounts.MAX_SERVICES; i++) {
            many = many.plusOne("service-" + i);
        }
        record(many, 1);
        assertTrue(costs.of("front", "GET /p").isEmpty());
    }

    private void record(CallCounts calls, int times) {
        for (int i = 0; i < times; i++) {
            costs.record("front", "GET /p", calls, 100, now++);
        }
    }

    private int callsAt(String service) {
        return costs.of("front", "GET /p").orElseThrow().calls().services().stream()
                .filter(s -> s.service().equals(service))
                .mapToInt(CallCounts.ServiceCalls::calls)
                .sum();
    }

    private static CallCounts sorted(CallCounts counts) {
        return CallCounts.NONE
                .plus(only(counts, "middle"))
                .plus(only(counts, "deep"))
                .plus(only(counts, "front"));
    }

    private static CallCounts only(CallCounts counts, String service) {
        return new CallCounts(counts.services().stream()
                .filter(s -> s.service().equals(service))
                .toList());
    }
}
