package org.verbenadyke.kernel.departure;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link DepartureTable}. */
final class DepartureTableTest {
    private static final long NOW_MILLIS = 1_800_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(NOW_MILLIS);
    private final DepartureTable table = DepartureTable.create(clock);

    @Test
    void endsUpTheSameInAnyOrder() {
        NodeDepartures[] parts = {
            departures(departed("a", 100, 5, NOW_MILLIS)),
            departures(departed("a", 200, 1, NOW_MILLIS + 1)),
            departures(departed("a", 100, DepartedStart.FINAL, NOW_MILLIS + 2)),
            departures(departed("b", 50, DepartedStart.FINAL, NOW_MILLIS))
        };
        DepartureTable other = DepartureTable.create(clock);
        for (int i = 0; i < parts.length; i++) {
            assertTrue(table.merge(parts[i]) || i > 0);
            other.merge(parts[parts.length - 1 - i]);
        }
        assertEquals(table.of("n"), other.of("n"));
        assertEquals(table.fingerprint(), other.fingerprint());
        assertFalse(table.merge(other.of("n")));
    }

    @Test
    void keepsABoundedNumberOfStartsPerNode() {
        IntStream.range(0, 100)
                .forEach(i -> table.merge(departures(departed("i-" + i, i, DepartedStart.FINAL, NOW_MILLIS + i))));
        assertEquals(NodeDepartures.MAX_STARTS, table.of("n").starts().size());
        assertEquals("i-99", table.of("n").starts().get(0).start().id());
    }

    @Test
    void forgetsWithoutLearningAgain() {
        NodeDepartures old = departures(departed("a", 100, 5, NOW_MILLIS));
        table.merge(old);
        clock.advance((DepartureTable.EXCHANGED_MILLIS + 1) * NANOS_PER_MILLI);
        assertEquals(0, table.fingerprint());
        assertEquals(List.of(), table.exchanged(1));
        assertEquals(old, table.of("n"));
        clock.advance(DepartureTable.EXCHANGED_MILLIS * NANOS_PER_MILLI);
        table.expire();
        assertFalse(table.merge(old));
        assertEquals(List.of(), table.of("n").starts());
    }

    private static NodeDepartures departures(DepartedStart... starts) {
        return new NodeDepartures("n", List.of(starts));
    }

    private static DepartedStart departed(String id, long startedMillis, long sequence, long announcedMillis) {
        return new DepartedStart(new UpstreamStart(id, OptionalLong.of(startedMillis)), sequence, announcedMillis);
    }
}
