package org.verbenadyke.kernel.log;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link LogEpoch}. */
final class LogEpochTest {
    private final LogEpoch epoch = LogEpoch.create();
    private final List<String> replacements = new ArrayList<>();

    LogEpochTest() {
        epoch.onReplaced((before, now) -> replacements.add(before + " to " + now));
    }

    @Test
    void acceptsTheFirstEpoch() {
        assertEquals(LogEpoch.Verdict.CURRENT, epoch.checkAnswer(LogEpoch.UNNAMED, 7));
        assertEquals(7, epoch.current());
        assertEquals(List.of(), replacements);
    }

    @Test
    void reportsEachReplacementOnce() {
        epoch.checkAnswer(0, 7);
        assertEquals(LogEpoch.Verdict.REPLACED, epoch.checkAnswer(7, 8));
        assertEquals(LogEpoch.Verdict.CURRENT, epoch.checkAnswer(7, 8));
        assertEquals(LogEpoch.Verdict.REPLACED, epoch.checkAnswer(8, 9));
        assertEquals(List.of("7 to 8", "8 to 9"), replacements);
    }

    @Test
    void rejectsALateAnswerOfThePreviousHistory() {
        epoch.checkAnswer(0, 7);
        epoch.checkAnswer(7, 8);
        assertEquals(LogEpoch.Verdict.OUTDATED, epoch.checkAnswer(7, 7));
        assertEquals(8, epoch.current());
    }

    @Test
    void treatsAnEpochThatGoesBackwardsAsANewHistory() {
        epoch.checkAnswer(0, 7);
        assertEquals(LogEpoch.Verdict.BACKWARDS, epoch.checkAnswer(7, 3));
        assertEquals(3, epoch.current());
        assertEquals(List.of("7 to 3"), replacements);
    }

    @Test
    void ignoresAnswersWithoutAnEpoch() {
        epoch.checkAnswer(0, 7);
        assertEquals(LogEpoch.Verdict.CURRENT, epoch.checkAnswer(7, LogEpoch.UNNAMED));
        assertEquals(7, epoch.current());
    }

    @Test
    void reportsTheFirstEpochOfALogThatNamedNoneBefore() {
        epoch.checkAnswer(0, LogEpoch.UNNAMED);
        assertEquals(LogEpoch.Verdict.REPLACED, epoch.checkAnswer(0, 1));
    }

    @Test
    void supportsALogWithoutEpochs() {
        assertEquals(LogEpoch.Verdict.CURRENT, epoch.checkAnswer(0, LogEpoch.UNNAMED));
        assertEquals(LogEpoch.Verdict.CURRENT, epoch.checkAnswer(0, LogEpoch.UNNAMED));
        assertEquals(List.of(), replacements);
    }
}
