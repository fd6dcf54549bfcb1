package org.verbenadyke.kernel.dispatch;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link AnswerTimes}. */
final class AnswerTimesTest {
    private static final AnswerTimes.Kind LONG = new AnswerTimes.Kind("s", "GET /long");
    private static final AnswerTimes.Kind SHORT = new AnswerTimes.Kind("s", "GET /short");

    private final AnswerTimes times = AnswerTimes.empty();

    @Test
    void knowsNothingAtFirst() {
        assertEquals(0, times.typicalNanos(LONG));
    }

    @Test
    void keepsKindsApart() {
        times.record(LONG, 240);
        times.record(SHORT, 15);
        assertEquals(240, times.typicalNanos(LONG));
        assertEquals(15, times.typicalNanos(SHORT));
    }

    @Test
    void followsASlowerServiceWithinSomeTensOfAnswers() {
        times.record(LONG, 100_000);
        for (int i = 0; i < 60; i++) {
            times.record(LONG, 200_000);
        }
        assertTrue(times.typicalNanos(LONG) > 190_000, "typical " + times.typicalNanos(LONG));
    }
}
