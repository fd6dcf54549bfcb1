package org.verbenadyke.kernel.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.budget.RootBudget;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link StopSchedule}. */
final class StopScheduleTest {
    private static final long SECOND = 1_000_000_000L;

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final StopSchedule schedule = StopSchedule.none(clock);

    @Test
    void limitsNothingWithoutAStop() {
        Request request = request(0, 30, 30);
        assertSame(request, schedule.limited(request));
        assertTrue(schedule.mayBeSent(request));
    }

    @Test
    void endsDeadlinesBeforeTheStopDoes() {
        schedule.begin(6 * SECOND);
        Request late = schedule.limited(request(0, 8, 7));
        assertEquals(6 * SECOND - StopSchedule.ANSWER_RESERVE_NANOS, late.deadlineNanos());
        assertEquals(late.deadlineNanos(), late.dueNanos());
        Request early = request(0, 5, 1);
        assertSame(early, schedule.limited(early));
    }

    @Test
    void sendsAllInTheFirstHalfAndWhatEndsInTimeInTheSecond() {
        schedule.begin(6 * SECOND);
        Request late = schedule.limited(request(0, 8, 1));
        Request early = request(0, 5, 1);
        assertTrue(schedule.mayBeSent(late));
        clock.advance(3 * SECOND);
        assertFalse(schedule.mayBeSent(late));
        assertFalse(schedule.mayBeSent(request(0, 8, 1)));
        assertTrue(schedule.mayBeSent(early));
    }

    /** Its parent has run for the first half of the stop, and would fail with it. */
    @Test
    void sendsACallInsideAChainThatIsDueInTime() {
        schedule.begin(6 * SECOND);
        clock.advance(3 * SECOND);
        assertTrue(schedule.mayBeSent(request(1, 8, 4)));
        assertFalse(schedule.mayBeSent(request(1, 8, 6)));
    }

    private static Request request(int depth, long deadlineSeconds, long dueSeconds) {
        return new Request(
                new RequestId(1, 1),
                "",
                "s",
                new Message.Content("GET", "/p", List.of(), new byte[0]),
                Importance.NORMAL,
                depth,
                deadlineSeconds * SECOND,
                dueSeconds * SECOND,
                true,
                "",
                false,
                false,
                RootBudget.of(1),
                ChainObserver.none());
    }
}
