package org.verbenadyke.kernel.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link RetryAllowance}. */
final class RetryAllowanceTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MILLI = 1_000_000L;
    private static final double RATIO = 0.2;
    private static final double SLACK = 47;
    private static final CallCounts ONE = CallCounts.of("s", 1);
    private static final CallCounts CHAIN = CallCounts.of("front", 1).plus(CallCounts.of("s", 8));

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final SplittableRandom random = new SplittableRandom(1);
    private int nodes = 12;

    @Test
    void grantsNothingBeforeAnyRequest() {
        assertFalse(allowance().charge(ONE, Importance.CRITICAL).granted());
    }

    /** Each start that began with retries of its own would add them to those of the starts before. */
    @ParameterizedTest
    @CsvSource({"1, 300", "12, 300", "12, 1500", "12, 20000", "96, 1500"})
    void boundsTheSumOfAllNodesAndStarts(int fleet, long lifeMillis) {
        nodes = fleet;
        List<RetryAllowance> running = new ArrayList<>();
        for (int i = 0; i < fleet; i++) {
            running.add(allowance());
        }
        long requestGapMillis = 8;
        int granted = 0;
        int requests = 0;
        for (long at = 0; at < 20_000; at += requestGapMillis) {
            clock.advance(requestGapMillis * MILLI);
            int entry = random.nextInt(fleet);
            if (at % lifeMillis < requestGapMillis) {
                running.set(entry, allowance());
            }
            running.get(entry).requested("s");
            running.get(entry).requested("front");
            boolean counted = at >= 10_000;
            requests += counted ? 1 : 0;
            for (int i = 0; i < 8; i++) {
                CallCounts calls = random.nextBoolean() ? ONE : CHAIN;
                if (running.get(random.nextInt(fleet))
                                .charge(calls, Importance.NORMAL)
                                .granted()
                        && counted) {
                    granted += calls.services().getLast().calls();
                }
            }
        }
        assertTrue(granted <= RATIO * requests + SLACK, granted + " for " + requests + " requests");
    }

    /** A node seldom has eight retries left in a large fleet; together the nodes must still grant some. */
    @Test
    void grantsLongRetriesInALargeFleet() {
        nodes = 96;
        List<RetryAllowance> fleet = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            fleet.add(allowance());
        }
        int granted = 0;
        for (int i = 0; i < 2_000; i++) {
            clock.advance(10 * MILLI);
            RetryAllowance entry = fleet.get(random.nextInt(nodes));
            entry.requested("s");
            entry.requested("front");
            granted += entry.charge(CHAIN, Importance.NORMAL).granted() ? 8 : 0;
        }
        assertTrue(granted >= RATIO * 2_000 / 2, "granted " + granted);
        assertTrue(granted <= RATIO * 2_000 + 2 * SLACK, "granted " + granted);
    }

    /** Independent draws for each part exceeded the bound of all nodes every few runs. */
    @ParameterizedTest
    @CsvSource({"1", "2", "3", "4", "5", "6", "7", "8"})
    void grantsAsManyRetriesAsItsPartsAddUpTo(int seed) {
        nodes = 1_000_000;
        SplittableRandom own = new SplittableRandom(seed);
        RetryAllowance allowance =
                RetryAllowance.create(new AllowanceSettings(RATIO, 10 * SECOND, SLACK), clock, () -> own, () -> nodes);
        int granted = 0;
        double paid = 0;
        for (int i = 0; i < 5_000; i++) {
            clock.advance(50 * MILLI);
            allowance.requested("s");
            allowance.requested("front");
            double before = status(allowance, "s").left();
            granted += allowance.charge(CHAIN, Importance.CRITICAL).granted() ? 8 : 0;
            paid += before - status(allowance, "s").left();
        }
        assertTrue(paid > 100, "paid " + paid);
        assertEquals(paid, granted, 8.1);
    }

    @Test
    void chargesEveryServiceThatARetryReaches() {
        RetryAllowance allowance = allowance();
        request(allowance, "front", 500);
        assertFalse(allowance.charge(CHAIN, Importance.CRITICAL).granted());
        assertTrue(
                allowance.charge(CallCounts.of("front", 1), Importance.CRITICAL).granted());
        request(allowance, "s", 500);
        assertTrue(allowance.charge(CHAIN, Importance.CRITICAL).granted());
        RetryAllowance.Status left = status(allowance, "s");
        assertTrue(left.left() <= left.saveable() - 8, left.toString());
        assertEquals(8, left.granted());
        assertEquals(8, left.denied());
    }

    @Test
    void keepsAPartForTheMoreImportant() {
        RetryAllowance allowance = allowance();
        request(allowance, "s", 500);
        int low = 0;
        while (low < 500 && allowance.charge(ONE, Importance.LOW).granted()) {
            low++;
        }
        assertTrue(low > 0 && low < 500, low + " granted");
        assertTrue(allowance.charge(ONE, Importance.CRITICAL).granted());
    }

    /** A node behind a partition sees few others and would take the whole slack for itself. */
    @Test
    void keepsItsShareOfTheSlackWhenItLosesSightOfOthers() {
        RetryAllowance allowance = allowance();
        allowance.charge(ONE, Importance.CRITICAL);
        nodes = 1;
        clock.advance(100 * SECOND);
        allowance.charge(ONE, Importance.CRITICAL);
        assertTrue(status(allowance, "s").saveable() <= SLACK / 12);
    }

    /** Calls to a service that no caller requests itself still get some retries. */
    @Test
    void earnsAPartOfTheSlackByTime() {
        RetryAllowance allowance = allowance();
        allowance.charge(ONE, Importance.CRITICAL);
        clock.advance(20 * SECOND);
        assertTrue(allowance.charge(ONE, Importance.CRITICAL).granted());
    }

    @Test
    void chargesNothingWithoutALimit() {
        RetryAllowance unlimited = RetryAllowance.create(AllowanceSettings.UNLIMITED, clock, () -> random, () -> nodes);
        unlimited.requested("s");
        assertTrue(unlimited.charge(CHAIN, Importance.LOW).granted());
        assertTrue(allowance().charge(CallCounts.NONE, Importance.LOW).granted());
        assertEquals(List.of(), unlimited.status());
    }

    private RetryAllowance allowance() {
        return RetryAllowance.create(
                new AllowanceSettings(RATIO, 10 * SECOND, SLACK), clock, () -> random, () -> nodes);
    }

    private void request(RetryAllowance allowance, String service, int times) {
        for (int i = 0; i < times; i++) {
            allowance.requested(service);
        }
    }

    private static RetryAllowance.Status status(RetryAllowance allowance, String service) {
        return allowance.status().stream()
                .filter(s -> s.service().equals(service))
                .findFirst()
                .orElseThrow();
    }
}
