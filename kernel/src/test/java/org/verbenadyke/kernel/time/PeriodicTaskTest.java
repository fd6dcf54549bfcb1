package org.verbenadyke.kernel.time;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link PeriodicTask}. */
final class PeriodicTaskTest {
    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<Long> runs = new ArrayList<>();

    @Test
    void runsAtMultiplesOfThePeriodWheneverItStarted() {
        clock.advance(130);
        PeriodicTask.aligned(clock, 0, 100, () -> runs.add(clock.nanos()));
        clock.advance(300);
        assertEquals(List.of(200L, 300L, 400L), runs);
    }

    @Test
    void sharesWakeUpsWithATaskWhosePeriodDividesItsOwn() {
        PeriodicTask.aligned(clock, 0, 50, () -> runs.add(clock.nanos()));
        clock.advance(70);
        PeriodicTask.aligned(clock, 0, 100, () -> runs.add(clock.nanos()));
        clock.advance(130);
        assertEquals(List.of(50L, 100L, 100L, 150L, 200L, 200L), runs);
    }

    @Test
    void stopsWhenCancelled() {
        Subscription task = PeriodicTask.aligned(clock, 0, 100, () -> runs.add(clock.nanos()));
        clock.advance(100);
        task.cancel();
        clock.advance(500);
        assertEquals(List.of(100L), runs);
    }

    @Test
    void continuesAfterAFailure() {
        PeriodicTask.aligned(clock, 0, 100, () -> {
            runs.add(clock.nanos());
            throw new IllegalStateException("once");
        });
        for (int i = 0; i < 2; i++) {
            try {
                clock.advance(100);
            } catch (IllegalStateException e) {
                // The test clock rethrows the exception; a real event loop logs it.
            }
        }
        assertEquals(2, runs.size());
    }
}
