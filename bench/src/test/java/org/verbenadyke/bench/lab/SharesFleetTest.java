package org.verbenadyke.bench.lab;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

    /** The plan ranks no write below a read: everything must happen as if the nodes had no plan. */
    @Test
    void changesNothingUnlessAWriteRanksBelowARead() {
        SharesFleet without = SharesFleet.withReadsBelowWrites(3, false).run(1.7, RUN_NANOS);
        SharesFleet with = SharesFleet.withReadsBelowWrites(3, true).run(1.7, RUN_NANOS);
        System.out.println("no write below a read: " + with);
        assertEquals(without.toString(), with.toString());
    }
}
