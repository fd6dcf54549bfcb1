package org.verbenadyke.kernel.dispatch;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link RetryDelay}. */
final class RetryDelayTest {
    private static final int DRAWS = 1_000;

    private final SplittableRandom random = new SplittableRandom(1);

    @Test
    void keepsTheUsualDelayWhenTheAnswerStillComesInTime() {
        assertEquals(400, RetryDelay.millis(400, 900, random));
    }

    @Test
    void shortensTheDelaySoThatTheAnswerCanComeInTime() {
        for (int i = 0; i < DRAWS; i++) {
            long millis = RetryDelay.millis(700, 360, random);
            assertTrue(millis >= 180 && millis <= 360, "pause " + millis);
        }
    }

    @Test
    void spreadsShortenedDelays() {
        long distinct = random.longs(DRAWS)
                .map(seed -> RetryDelay.millis(700, 360, new SplittableRandom(seed)))
                .distinct()
                .count();
        assertTrue(distinct > 100, distinct + " pauses");
    }

    @Test
    void returnsTheUsualDelayWhenTheAnswerWillBeLate() {
        assertEquals(700, RetryDelay.millis(700, -50, random));
    }

    @Test
    void returnsTheUsualDelayWhenTheSlackIsBelowTheMinimum() {
        assertEquals(700, RetryDelay.millis(700, 60, random));
    }

    @Test
    void neverReturnsLessThanTheMinimumDelay() {
        for (int i = 0; i < DRAWS; i++) {
            long millis = RetryDelay.millis(700, 120, random);
            assertTrue(millis >= 100 && millis <= 120, "pause " + millis);
        }
    }
}
