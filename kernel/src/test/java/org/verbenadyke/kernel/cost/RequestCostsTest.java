package org.verbenadyke.kernel.cost;

import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Importance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.verbenadyke.kernel.cost.UsageSumTest.usage;

/** Tests {@link RequestCosts}: costs must not be taken from too few or old answers, and their number is bounded. */
final class RequestCostsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String READ = "GET /read";
    private static final double MICROS = 1_000;

    private final RequestCosts costs = RequestCosts.empty();
    private long now = 5 * SECOND;

    @Test
    void knowsACostFromTheEighthAnswerOn() {
        record(READ, 7, usage("deep", 40, "front", 10));
        assertEquals(OptionalDouble.empty(), slotNanos(READ, "deep"));
        assertEquals(List.of(), costs.kindsUsing(Importance.NORMAL, "deep", now));
        record(READ, 1, usage("deep", 40, "front", 10));
        assertEquals(40 * MICROS, slotNanos(READ, "deep").orElseThrow(), 1e-6);
        assertEquals(10 * MICROS, slotNanos(READ, "front").orElseThrow(), 1e-6);
        assertEquals(0, slotNanos(READ, "unused").orElseThrow());
        assertEquals(OptionalDouble.empty(), slotNanos("GET /other", "deep"));
    }

    @Test
    void ignoresAnEmptyUsage() {
        record(READ, 7, usage("deep", 40));
        record(READ, 5, Usage.NONE);
        assertEquals(OptionalDouble.empty(), slotNanos(READ, "deep"));
    }

    @Test
    void knowsNothingThirtySecondsAfterTheLastAnswer() {
        record(READ, 8, usage("deep", 40));
        now += 30 * SECOND;
        assertTrue(slotNanos(READ, "deep").isPresent());
        now++;
        assertEquals(OptionalDouble.empty(), slotNanos(READ, "deep"));
        assertEquals(List.of(), costs.kindsUsing(Importance.NORMAL, "deep", now));
        record(READ, 1, usage("deep", 40));
        assertTrue(slotNanos(READ, "deep").isPresent());
    }

    /** The cost of a rare kind would be lost if only a part of its requests could renew it. */
    @Test
    void isFreshUntilAQuarterOfTheMaximumAge() {
        record(READ, 7, usage("deep", 40));
        assertFalse(costs.fresh("front", READ, now));
        record(READ, 1, usage("deep", 40));
        now += 7_500 * SECOND / 1_000;
        assertTrue(costs.fresh("front", READ, now));
        now++;
        assertFalse(costs.fresh("front", READ, now));
        assertFalse(costs.fresh("front", "GET /other", now));
    }

    @Test
    void followsAChangeByATenthPerAnswer() {
        record(READ, 100, usage("deep", 40, "gone", 100));
        record(READ, 1, usage("deep", 140));
        assertEquals(50 * MICROS, slotNanos(READ, "deep").orElseThrow(), 1e-6);
        assertEquals(90 * MICROS, slotNanos(READ, "gone").orElseThrow(), 1e-6);
        record(READ, 50, usage("deep", 140));
        assertEquals(140 * MICROS, slotNanos(READ, "deep").orElseThrow(), MICROS);
        assertEquals(0, slotNanos(READ, "gone").orElseThrow());
    }

    /** A single slow first answer would otherwise make up half of the cost when it becomes known. */
    @Test
    void theFirstAnswersWeighTheSame() {
        record(READ, 1, usage("deep", 800));
        record(READ, 7, usage("deep", 0));
        assertEquals(100 * MICROS, slotNanos(READ, "deep").orElseThrow(), 1e-6);
    }

    @Test
    void listsTheKindsOfAnImportanceThatUseAServiceWithTheirRates() {
        for (int i = 0; i < 6_000; i++) {
            now += SECOND / 100;
            record(READ, 1, usage("deep", 40));
            if (i % 4 == 0) {
                costs.record("front", READ, Importance.HIGH, true, usage("deep", 40), now);
                costs.record("front", "POST /write", Importance.NORMAL, false, usage("deep", 20), now);
                costs.record("front", "GET /shallow", Importance.NORMAL, true, usage("front", 5), now);
            }
        }
        List<KindCost> normal = costs.kindsUsing(Importance.NORMAL, "deep", now).stream()
                .sorted((a, b) -> a.pathClass().compareTo(b.pathClass()))
                .toList();
        assertEquals(2, normal.size(), normal.toString());
        assertKind(new KindCost("front", READ, true, 40 * MICROS, 100), normal.get(0));
        assertKind(new KindCost("front", "POST /write", false, 20 * MICROS, 25), normal.get(1));
        List<KindCost> high = costs.kindsUsing(Importance.HIGH, "deep", now);
        assertEquals(1, high.size(), high.toString());
        assertKind(new KindCost("front", READ, true, 40 * MICROS, 25), high.get(0));
    }

    @Test
    void replacesTheKindWhoseLastAnswerIsTheOldest() {
        record("GET /first", 8, usage("deep", 1));
        for (int i = 0; i < KindTable.MAX_KINDS; i++) {
            now++;
            record(READ, 8, usage("deep", 40));
            record("GET /" + i, 8, usage("deep", 1));
        }
        assertTrue(slotNanos(READ, "deep").isPresent());
        assertEquals(OptionalDouble.empty(), slotNanos("GET /first", "deep"));
        assertEquals(OptionalDouble.empty(), slotNanos("GET /0", "deep"));
        assertEquals(
                KindTable.MAX_KINDS,
                costs.kindsUsing(Importance.NORMAL, "deep", now).size());
    }

    @Test
    void holdsTheEightServicesOfAKindWithTheMostSlotTime() {
        for (int i = 0; i < 200; i++) {
            for (int s = 1; s <= 12; s++) {
                record(READ, 1, usage("s" + s, 1_000 * s));
            }
        }
        long held = IntStream.rangeClosed(1, 12)
                .filter(s -> slotNanos(READ, "s" + s).orElseThrow() > 0)
                .count();
        assertEquals(LearnedCost.MAX_SERVICES, held);
        assertTrue(slotNanos(READ, "s12").orElseThrow() > 0);
    }

    @Test
    void losesNothingThatIsRecordedInParallel() {
        IntStream.range(0, 20_000).parallel().forEach(i -> record("GET /" + i % 4, 1, usage("deep", 40)));
        double perSecond = costs.kindsUsing(Importance.NORMAL, "deep", now).stream()
                .mapToDouble(KindCost::requestsPerSecond)
                .sum();
        assertEquals(2_000, perSecond, 1e-3);
    }

    private void record(String pathClass, int times, Usage usage) {
        for (int i = 0; i < times; i++) {
            costs.record("front", pathClass, Importance.NORMAL, true, usage, now);
        }
    }

    private OptionalDouble slotNanos(String pathClass, String deepService) {
        return costs.slotNanos("front", pathClass, deepService, now);
    }

    private static void assertKind(KindCost expected, KindCost kind) {
        assertEquals(expected.service(), kind.service());
        assertEquals(expected.pathClass(), kind.pathClass());
        assertEquals(expected.repeatable(), kind.repeatable());
        assertEquals(expected.slotNanos(), kind.slotNanos(), 1e-6);
        assertEquals(expected.requestsPerSecond(), kind.requestsPerSecond(), expected.requestsPerSecond() / 20);
    }
}
