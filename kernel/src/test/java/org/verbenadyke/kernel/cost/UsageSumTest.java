package org.verbenadyke.kernel.cost;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Tests {@link UsageSum}: its size must be bounded, and parallel calls must not lose slot time. */
final class UsageSumTest {
    private static final int THREADS = 4;
    private static final int ADDED = 10_000;

    private final UsageSum sum = UsageSum.empty();

    @Test
    void addsUpByServiceAndListsTheMostFirst() {
        sum.add(usage("a", 10, "b", 30));
        sum.add(usage("a", 25));
        assertEquals(usage("a", 35, "b", 30), sum.total());
        assertEquals(usage("b", 37, "a", 35), sum.totalWith("b", 7));
        assertEquals(usage("a", 35, "b", 30), sum.total());
    }

    @Test
    void isEmptyWithoutAnyUsage() {
        sum.add(Usage.NONE);
        assertEquals(Usage.NONE, sum.total());
        assertEquals(usage("own", 0), sum.totalWith("own", 0));
    }

    @Test
    void listsTheServicesWithTheMostSlotTime() {
        IntStream.range(0, 3 * UsageSum.MAX_SERVICES).forEach(i -> sum.add(usage("s" + i, i)));
        assertEquals(usage("s47", 47, "s46", 46, "s45", 45, "s44", 44), sum.total());
        assertEquals(usage("own", 60, "s47", 47, "s46", 46, "s45", 45), sum.totalWith("own", 60));
        assertThrows(IllegalArgumentException.class, () -> usage("a", 1, "b", 1, "c", 1, "d", 1, "e", 1));
    }

    /** A map and a sorted list for each of the many requests with one attempt would cost processor time. */
    @Test
    void passesOnTheUsageOfASingleAttempt() {
        Usage only = usage("a", 10, "b", 5);
        sum.add(Usage.NONE);
        sum.add(only);
        assertSame(only, sum.total());
        assertEquals(usage("b", 12, "a", 10), sum.totalWith("b", 7));
        assertSame(only, sum.total());
    }

    @Test
    void neverOverflows() {
        sum.add(usage("a", Long.MAX_VALUE));
        sum.add(usage("a", 1));
        assertEquals(usage("a", Long.MAX_VALUE), sum.totalWith("a", Long.MAX_VALUE));
    }

    @Test
    void losesNothingThatIsAddedInParallel() {
        IntStream.range(0, THREADS * ADDED).parallel().forEach(i -> sum.add(usage("a", 1, "b", 2)));
        assertEquals(usage("b", 2L * THREADS * ADDED, "a", THREADS * ADDED), sum.total());
    }

    /** Returns a usage of services, each followed by its microseconds. */
    static Usage usage(Object... servicesAndMicros) {
        List<Usage.SlotTime> times = IntStream.range(0, servicesAndMicros.length / 2)
                .mapToObj(i -> new Usage.SlotTime(
                        (String) servicesAndMicros[2 * i], ((Number) servicesAndMicros[2 * i + 1]).longValue()))
                .toList();
        return new Usage(times);
    }
}
