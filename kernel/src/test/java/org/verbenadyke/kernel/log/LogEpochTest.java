package org.verbenadyke.kernel.log;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link LogEpoch}. */
final class LogEpochTest {
    private final LogEpoch epoch = LogEpoch.unknown();
    private final List<String> told = new ArrayList<>();

    LogEpochTest() {
        epoch.onReplaced((before, now) -> told.add(before + " to " + now));
    }

    @Test
    void takesTheFirstEpochAsItIs() {
        assertEquals(LogEpoch.Verdict.CURRENT, epoch.answered(LogEpoch.UNNAMED, 7));
        assertEquals(7, epoch.current());
        assertEquals(List.of(), told);
    }

    @Test
    void tellsEachReplacementOnce() {
        epoch.answered(0, 7);
        assertEquals(LogEpoch.Verdict.REPLACED, epoch.answered(7, 8));
        assertEquals(LogEpoch.Verdict.CURRENT, epoch.answered(7, 8));
        assertEquals(LogEpoch.Verdict.REPLACED, epoch.answered(8, 9));
        assertEquals(List.of("7 to 8", "8 to 9"), told);
    }

    @Test
    void countsALateAnswerOfTheHistoryBeforeForNothing() {
        epoch.answered(0, 7);
        epoch.answered(7, 8);
        assertEquals(LogEpoch.Verdict.OUTDATED, epoch.answered(7, 7));
        assertEquals(8, epoch.current());
    }

    @Test
    void takesAnEpochThatGoesBackwardsForAnotherHistory() {
        epoch.answered(0, 7);
        assertEquals(LogEpoch.Verdict.BACKWARDS, epoch.answered(7, 3));
        assertEquals(3, epoch.current());
        assertEquals(List.of("7 to 3"), told);
    }

    @Test
    void learnsNothingFromAnAnswerThatNamesNone() {
        epoch.answered(0, 7);
        assertEquals(LogEpoch.Verdict.CURRENT, epoch.answered(7, LogEpoch.UNNAMED));
        assertEquals(7, epoch.current());
    }

    @Test
    void tellsTheFirstReplacementOfALogThatNamedNoneBefore() {
        epoch.answered(0, LogEpoch.UNNAMED);
        assertEquals(LogEpoch.Verdict.REPLACED, epoch.answered(0, 1));
    }

    @Test
    void servesALogThatNamesNone() {
        assertEquals(LogEpoch.Verdict.CURRENT, epoch.answered(0, LogEpoch.UNNAMED));
        assertEquals(LogEpoch.Verdict.CURRENT, epoch.answered(0, LogEpoch.UNNAMED));
        assertEquals(List.of(), told);
    }
}
