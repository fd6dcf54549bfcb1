package org.verbenadyke.bench.lab;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the guaranteed share of less important writes on {@link SharesFleet}. */
final class SharesFleetTest {
    private static final long RUN_NANOS = 12 * Lab.SECOND;

    /** With strict priorities, hardly any write is served from 1.3 times the capacity on. */
    @ParameterizedTest
    @CsvSource({
        "3, 0.8", "3, 1.0", "3, 1.3", "3, 1.7", "3, 2.4", "4, 0.8", "4, 1.0", "4, 1.3", "4, 1.7", "4, 2.4",
    })
    void servesNoKindLessThanAQuarterAsOftenAsAll(long seed, double times) {
        SharesFleet strict = SharesFleet.withWritesBelowReads(seed, false).run(times, RUN_NANOS);
        SharesFleet shares = SharesFleet.withWritesBelowReads(seed, true).run(times, RUN_NANOS);
        System.out.println("seed " + seed + ", " + times + " times, strict: " + strict);
        System.out.println("seed " + seed + ", " + times + " times, shares: " + shares);
        double all = shares.inTimeShare();
        assertTrue(shares.reads.inTimeShare() > all / 4, "reads: " + shares);
        assertTrue(shares.writes.inTimeShare() > all / 4, "writes: " + shares);
        assertTrue(shares.direct.inTimeShare() > 0.99, "direct: " + shares);
        assertTrue(all > strict.inTimeShare() - 0.01, shares + " against " + strict);
    }

    /** Writes that take twice the slot time of a read get the lowest share, and fail more often on the way. */
    @ParameterizedTest
    @CsvSource({"3, 1.3", "3, 1.7", "3, 2.4", "4, 1.3", "4, 1.7", "4, 2.4"})
    void servesLongWritesAQuarterAsOftenAsAll(long seed, double times) {
        SharesFleet fleet = SharesFleet.withLongWritesBelowReads(seed, 16).run(times, RUN_NANOS);
        System.out.println("seed " + seed + ", " + times + " times, long writes: " + fleet);
        assertTrue(fleet.writes.inTimeShare() > fleet.inTimeShare() / 4, "writes: " + fleet);
    }

    /** The plan ranks no write below a read: everything must happen as if the nodes had no plan. */
    @Test
    void changesNothingUnlessAWriteRanksBelowARead() {
        String without =
                SharesFleet.withReadsBelowWrites(3, false).run(1.7, RUN_NANOS).toString();
        SharesFleet with = SharesFleet.withReadsBelowWrites(3, true).run(1.7, RUN_NANOS);
        System.out.println("no write below a read: " + with);
        assertEquals(without, with.toString());
        assertFalse(with.learnsCosts(), "requested usage that no share needs");
    }

    /** Without costs, the share would stay at its lowest value. */
    @Test
    void learnsCostsWhileAWriteRanksBelowARead() {
        SharesFleet fleet = SharesFleet.withWritesBelowReads(3, true).run(0.8, 2 * Lab.SECOND);
        assertTrue(fleet.learnsCosts(), "learned nothing: " + fleet);
    }
}
