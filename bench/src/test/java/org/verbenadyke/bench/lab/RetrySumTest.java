package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.verbenadyke.bench.retry.RepetitionCounts;
import org.verbenadyke.kernel.call.Importance;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that all retries together stay within the share of callers' own requests for a service, where its upstreams
 * fail and other services call it many times for one request.
 */
final class RetrySumTest {
    private static final long WINDOW_NANOS = 10 * Lab.SECOND;
    private static final RepetitionCounts.Allowance ALLOWED = new RepetitionCounts.Allowance(0.2, WINDOW_NANOS, 47);
    private static final long RUN_NANOS = 30 * Lab.SECOND;
    private static final long TIMEOUT_MILLIS = 3_000;

    private static final FleetOperation LEG = FleetOperation.of("leg", "deep", 10, 300, 1_000);
    private static final FleetOperation PART =
            FleetOperation.of("part", "middle", 10, 600, 1_500).calling(4, LEG, false);
    private static final FleetOperation LOOKUP =
            FleetOperation.of("lookup", "front", 20, 1_000, TIMEOUT_MILLIS).calling(2, PART, true);
    private static final FleetOperation READ = FleetOperation.of("read", "deep", 20, 500, 1_000);
    private static final FleetOperation LIST = FleetOperation.of("list", "middle", 20, 500, 1_000);
    private static final double LOOKUPS_PER_SECOND = 120;
    private static final double READS_PER_SECOND = 25;
    private static final double LISTS_PER_SECOND = 25;
    private static final List<ServiceSpec> CHAIN = List.of(
            ServiceSpec.of("front", 3, 100, 1), ServiceSpec.of("middle", 3, 100, 1), ServiceSpec.of("deep", 3, 100, 1));
    private static final List<ServiceSpec> SINGLE = List.of(ServiceSpec.of("deep", 5, 100, 1));
    private static final double[] EVEN = {1.0};

    private final CallerFleet.Tally lookups = new CallerFleet.Tally();
    private final CallerFleet.Tally reads = new CallerFleet.Tally();
    private CallerFleet fleet;

    @ParameterizedTest
    @EnumSource(
            value = FleetUpstream.Outcome.class,
            names = {"FAILED", "LOST", "REJECTED"})
    void boundsTheSumWhereTheDeepestServiceFails(FleetUpstream.Outcome outcome) {
        startChain(3);
        run(share("deep", 0.1, outcome));
        assertWithinAllowance();
    }

    /** A run that is repeated high in the chain repeats all its calls. */
    @ParameterizedTest
    @EnumSource(
            value = FleetUpstream.Outcome.class,
            names = {"FAILED", "LOST"})
    void boundsTheSumWhereTheFirstServiceFails(FleetUpstream.Outcome outcome) {
        startChain(4);
        run(share("front", 0.3, outcome));
        assertWithinAllowance();
    }

    @Test
    void boundsTheSumWhereEveryServiceFails() {
        startChain(5);
        run(service ->
                fleet.lab().random().nextDouble() < 0.1 ? FleetUpstream.Outcome.LOST : FleetUpstream.Outcome.ANSWERED);
        assertWithinAllowance();
    }

    /** A start must not bring retries of its own. */
    @Test
    void boundsTheSumWhileNodesAreKilledInSeries() {
        startChain(6);
        restartInTurn(1_000 * Lab.MILLI);
        run(share("deep", 0.2, FleetUpstream.Outcome.LOST));
        assertWithinAllowance();
    }

    /** Retries that are denied although they are allowed cost callers their answers. */
    @ParameterizedTest
    @EnumSource(
            value = FleetUpstream.Outcome.class,
            names = {"FAILED", "LOST", "REJECTED"})
    void usesHalfOfWhatIsAllowedWhereManyRunsOfASingleServiceFail(FleetUpstream.Outcome outcome) {
        fleet = CallerFleet.start(7, SINGLE, List.of(READ), EVEN);
        fleet.audit().setFaults(share("deep", 0.4, outcome));
        generateLoad(READ, reads, 170);
        fleet.lab().advance(RUN_NANOS);
        RepetitionCounts.Window most =
                fleet.audit().counts().busiest("deep", ALLOWED).orElseThrow();
        System.out.println("single service, " + outcome + ": " + most + "; " + reads);
        assertWithinAllowance();
        assertTrue(most.repetitions() >= ALLOWED.ratio() * most.requests() / 2, most.toString());
    }

    private void startChain(long seed) {
        fleet = CallerFleet.start(seed, CHAIN, List.of(LEG, PART, LOOKUP, READ, LIST), EVEN);
    }

    private Function<String, FleetUpstream.Outcome> share(String failing, double share, FleetUpstream.Outcome outcome) {
        return service -> service.equals(failing) && fleet.lab().random().nextDouble() < share
                ? outcome
                : FleetUpstream.Outcome.ANSWERED;
    }

    private void run(Function<String, FleetUpstream.Outcome> faults) {
        generateLoad(LOOKUP, lookups, LOOKUPS_PER_SECOND);
        generateLoad(READ, reads, READS_PER_SECOND);
        generateLoad(LIST, new CallerFleet.Tally(), LISTS_PER_SECOND);
        fleet.lab().clock().after(WINDOW_NANOS / 2, () -> fleet.audit().setFaults(faults));
        fleet.lab().advance(RUN_NANOS);
    }

    private void generateLoad(FleetOperation operation, CallerFleet.Tally tally, double perSecond) {
        fleet.generateLoad(
                new CallerFleet.CallerGroup(operation, Importance.NORMAL, TIMEOUT_MILLIS, tally),
                perSecond,
                fleet.lab().clock().nanos() + RUN_NANOS);
    }

    private void restartInTurn(long gapNanos) {
        List<LabServer> servers = fleet.lab().servers();
        for (int i = 0; i * gapNanos < RUN_NANOS; i++) {
            LabServer server = servers.get(i % servers.size());
            fleet.lab().clock().after(i * gapNanos, () -> fleet.restartNode(server));
        }
    }

    private void assertWithinAllowance() {
        Stream.of("front", "middle", "deep")
                .flatMap(s -> fleet.audit().counts().worst(s, ALLOWED).stream()
                        .peek(w -> System.out.println(s + ": " + w + "; lookups " + lookups + "; reads " + reads)))
                .forEach(w -> assertTrue(w.excess() <= 0, w.toString()));
    }
}
