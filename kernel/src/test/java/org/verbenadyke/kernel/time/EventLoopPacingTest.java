package org.verbenadyke.kernel.time;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link EventLoopPacing}. */
final class EventLoopPacingTest {
    private static final long MILLI = 1_000_000L;

    /** Processor time of a wake-up without its events, in nanoseconds; rounded from measurements. */
    private static final long WAKE_UP_NANOS = 60_000L;

    /** Processor time of each event, in nanoseconds; rounded from measurements. */
    private static final long EVENT_NANOS = 15_000L;

    @Test
    void neverPausesWhenIterationsAreFarApart() {
        EventLoopPacing pacing = EventLoopPacing.quiet();
        for (long t = 0; t < 100; t++) {
            assertEquals(0, pacing.iterationEnded(t * 10 * MILLI));
        }
    }

    @Test
    void pairsOfCloseEventsDoNotMakeALoopBusy() {
        EventLoopPacing pacing = EventLoopPacing.quiet();
        for (long t = 0; t < 100; t++) {
            assertEquals(0, pacing.iterationEnded(t * 10 * MILLI));
            assertEquals(0, pacing.iterationEnded(t * 10 * MILLI + MILLI / 10));
        }
    }

    @Test
    void pausesUnderLoadAndStopsWhenItIsOver() {
        EventLoopPacing pacing = EventLoopPacing.quiet();
        long now = 0;
        for (int i = 0; i < 20; i++) {
            now += MILLI / 2;
            pacing.iterationEnded(now);
        }
        assertEquals(EventLoopPacing.PAUSE_NANOS, pacing.iterationEnded(now + MILLI / 2));
        now += 20 * MILLI;
        pacing.iterationEnded(now);
        assertEquals(0, pacing.iterationEnded(now + 20 * MILLI));
    }

    /** Simulates a node under heavy load: some thousand events a second, at random times. */
    @Test
    void halvesTheProcessorTimeOfABusyNode() {
        Replay without = replay(3_000, false);
        Replay with = replay(3_000, true);
        assertTrue(with.busyNanos() < without.busyNanos() / 2, with + " against " + without);
        assertTrue(with.longestWaitNanos() < 3 * EventLoopPacing.PAUSE_NANOS, with.toString());
    }

    @Test
    void doesNotDelayEventsOfAnIdleNode() {
        assertEquals(replay(50, false), replay(50, true));
    }

    private static Replay replay(int eventsASecond, boolean paced) {
        Random random = new Random(7);
        EventLoopPacing pacing = EventLoopPacing.quiet();
        double meanGap = 1e9 / eventsASecond;
        long next = 0;
        long now = 0;
        long busy = 0;
        long longest = 0;
        while (now < 5_000 * MILLI) {
            now = Math.max(now, next);
            now += WAKE_UP_NANOS;
            busy += WAKE_UP_NANOS;
            while (next <= now) {
                longest = Math.max(longest, now - next);
                next += (long) (-Math.log(1 - random.nextDouble()) * meanGap);
                now += EVENT_NANOS;
                busy += EVENT_NANOS;
            }
            now += paced ? pacing.iterationEnded(now) : 0;
        }
        return new Replay(busy, longest);
    }

    /**
     * The result of a simulation.
     *
     * @param busyNanos the processor time
     * @param longestWaitNanos the longest time from an event to its handling
     */
    private record Replay(long busyNanos, long longestWaitNanos) {}
}
