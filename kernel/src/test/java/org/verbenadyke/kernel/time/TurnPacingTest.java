package org.verbenadyke.kernel.time;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link EventLoopPacing}. */
final class TurnPacingTest {
    private static final long MILLI = 1_000_000L;

    /** What a wake-up costs beside its events, and what each event costs, in nanoseconds: measured, rounded. */
    private static final long WAKE_UP = 60_000L;

    private static final long EVENT = 15_000L;

    @Test
    void neverRestsWhenTurnsAreFarApart() {
        EventLoopPacing pacing = EventLoopPacing.quiet();
        for (long t = 0; t < 100; t++) {
            assertEquals(0, pacing.iterationEnded(t * 10 * MILLI));
        }
    }

    @Test
    void twoEventsInARowDontMakeALoopBusy() {
        EventLoopPacing pacing = EventLoopPacing.quiet();
        for (long t = 0; t < 100; t++) {
            assertEquals(0, pacing.iterationEnded(t * 10 * MILLI));
            assertEquals(0, pacing.iterationEnded(t * 10 * MILLI + MILLI / 10));
        }
    }

    @Test
    void restsUnderLoadAndStopsWhenItIsOver() {
        EventLoopPacing pacing = EventLoopPacing.quiet();
        long now = 0;
        for (int i = 0; i < 20; i++) {
            now += MILLI / 2;
            pacing.iterationEnded(now);
        }
        assertEquals(EventLoopPacing.REST_NANOS, pacing.iterationEnded(now + MILLI / 2));
        now += 20 * MILLI;
        pacing.iterationEnded(now);
        assertEquals(0, pacing.iterationEnded(now + 20 * MILLI));
    }

    /** Replays a node's events under a heavy load: some thousand a second, at random moments. */
    @Test
    void halvesWhatABusyNodeCosts() {
        Replay without = replay(3_000, false);
        Replay with = replay(3_000, true);
        assertTrue(with.busyNanos() < without.busyNanos() / 2, with + " against " + without);
        assertTrue(with.longestWaitNanos() < 3 * EventLoopPacing.REST_NANOS, with.toString());
    }

    @Test
    void leavesAQuietNodesEventsAlone() {
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
            now += WAKE_UP;
            busy += WAKE_UP;
            while (next <= now) {
                longest = Math.max(longest, now - next);
                next += (long) (-Math.log(1 - random.nextDouble()) * meanGap);
                now += EVENT;
                busy += EVENT;
            }
            now += paced ? pacing.iterationEnded(now) : 0;
        }
        return new Replay(busy, longest);
    }

    /**
     * What a replay came to.
     *
     * @param busyNanos the processor time
     * @param longestWaitNanos the longest time from an event to its handling
     */
    private record Replay(long busyNanos, long longestWaitNanos) {}
}
