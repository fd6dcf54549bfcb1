package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.cost.KindCost;
import org.verbenadyke.kernel.cost.RequestCosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that the costs that entry nodes learn agree with the work of the upstreams. Lookups make six calls to the
 * deepest service, through another one; filings make four themselves.
 */
final class ChainCostTest {
    private static final FleetOperation LEG = FleetOperation.of("leg", "deep", 20, 300, 1_000);
    private static final FleetOperation PART =
            FleetOperation.of("part", "middle", 10, 600, 1_500).calling(3, LEG, false);
    private static final FleetOperation LOOKUP =
            FleetOperation.of("lookup", "front", 30, 1_000, 2_000).calling(2, PART, true);
    private static final FleetOperation FILING = FleetOperation.of("filing", "front", 40, 1_000, 2_000)
            .calling(4, LEG, true)
            .atMostOnce();

    /** Both together need all slots of the deepest service. */
    private static final double LOOKUPS_PER_SECOND = 500;

    private static final double FILINGS_PER_SECOND = 250;
    private static final List<ServiceSpec> SERVICES = List.of(
            ServiceSpec.of("front", 5, 100, 1), ServiceSpec.of("middle", 3, 100, 1), ServiceSpec.of("deep", 2, 40, 1));
    private static final double[] UNEVEN = {0.5, 1.0, 1.5};
    private static final double[] EVEN = {1.0};

    private final CallerFleet.Tally lookups = new CallerFleet.Tally();
    private final CallerFleet.Tally filings = new CallerFleet.Tally();
    private CallerFleet fleet;

    /** A call that is left out or counted twice at any hop makes a difference of several percent. */
    @ParameterizedTest
    @CsvSource({"3, 0.5", "4, 0.8", "5, 0.8"})
    void learnsTheTimeThatUpstreamsSpentOnRequests(long seed, double times) {
        run(seed, times, UNEVEN, 8, true);
        int compared = 0;
        for (LabServer entry : fleet.lab().servers()) {
            for (FleetOperation root : List.of(LOOKUP, FILING)) {
                for (String service : List.of("front", "middle", "deep")) {
                    double held = millis(fleet.trueCosts(entry), root, service).orElseThrow();
                    double learned = millis(costs(entry), root, service).orElseThrow();
                    assertEquals(held, learned, held * 0.001, root.name() + " at " + service);
                    compared += held > 0 ? 1 : 0;
                }
            }
        }
        assertEquals(5 * fleet.lab().servers().size(), compared);
    }

    /** Waiting and refused calls must not count as slot time: six and four calls of 20 ms, however long they wait. */
    @ParameterizedTest
    @CsvSource({"3, 1.0", "4, 1.3", "5, 1.7", "6, 2.4"})
    void learnsTheSameCostUnderOverload(long seed, double times) {
        run(seed, times, EVEN, 6, true);
        double lookup = meanAtDeep(LOOKUP);
        double filing = meanAtDeep(FILING);
        System.out.println("chain costs, seed " + seed + ", " + times + " times: lookup " + lookup + " ms, filing "
                + filing + " ms; lookups " + lookups + "; filings " + filings);
        assertEquals(120, lookup, 12);
        assertEquals(80, filing, 8);
    }

    /** Shares that are weighted by wrong rates would favour rare kinds of request. */
    @Test
    void learnsTheRatesOfRequests() {
        run(7, 0.5, EVEN, 36, true);
        double lookupsPerSecond = perSecond(Importance.NORMAL);
        double filingsPerSecond = perSecond(Importance.HIGH);
        System.out.println(
                "chain rates, seed 7: lookups " + lookupsPerSecond + "/s, filings " + filingsPerSecond + "/s");
        assertEquals(LOOKUPS_PER_SECOND / 2, lookupsPerSecond, 25);
        assertEquals(FILINGS_PER_SECOND / 2, filingsPerSecond, 15);
    }

    @Test
    void learnsNothingUnlessUsageIsRequested() {
        run(3, 0.5, EVEN, 8, false);
        assertTrue(entries().allMatch(e -> millis(costs(e), LOOKUP, "front").isEmpty()));
    }

    private void run(long seed, double times, double[] speeds, long seconds, boolean requestsUsage) {
        fleet = CallerFleet.start(seed, SERVICES, List.of(LEG, PART, LOOKUP, FILING), speeds);
        if (requestsUsage) {
            fleet.requestUsage();
        }
        long end = fleet.lab().clock().nanos() + seconds * Lab.SECOND;
        fleet.generateLoad(
                new CallerFleet.CallerGroup(LOOKUP, Importance.NORMAL, 4_000, lookups),
                LOOKUPS_PER_SECOND * times,
                end);
        fleet.generateLoad(
                new CallerFleet.CallerGroup(FILING, Importance.HIGH, 4_000, filings), FILINGS_PER_SECOND * times, end);
        fleet.lab().advance(seconds * Lab.SECOND);
    }

    private OptionalDouble millis(RequestCosts costs, FleetOperation root, String service) {
        OptionalDouble nanos = costs.slotNanos(
                root.service(), root.pathClass(), service, fleet.lab().clock().nanos());
        return nanos.isEmpty() ? nanos : OptionalDouble.of(nanos.getAsDouble() / Lab.MILLI);
    }

    private double meanAtDeep(FleetOperation root) {
        return entries()
                .map(e -> millis(costs(e), root, "deep"))
                .flatMapToDouble(OptionalDouble::stream)
                .average()
                .orElseThrow();
    }

    private double perSecond(Importance importance) {
        return entries()
                .flatMap(e -> costs(e)
                        .kindsUsing(importance, "deep", fleet.lab().clock().nanos())
                        .stream())
                .mapToDouble(KindCost::requestsPerSecond)
                .sum();
    }

    private Stream<LabServer> entries() {
        return fleet.lab().servers().stream();
    }

    private static RequestCosts costs(LabServer entry) {
        return entry.node().core().engine().costs();
    }
}
