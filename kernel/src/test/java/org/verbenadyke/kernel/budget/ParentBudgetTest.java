package org.verbenadyke.kernel.budget;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.cost.CallCounts;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.message.RecordingLink;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link ParentBudget}. */
final class ParentBudgetTest {
    private static final CallId CALL = new CallId(1, 1);
    private static final CallCounts CALLS = CallCounts.of("s", 3);

    private final RecordingLink link = new RecordingLink();
    private final List<RetryDecision> decisions = new ArrayList<>();
    private boolean futile;
    private final ParentBudget budget = ParentBudget.of(() -> link, CALL, () -> futile);

    @Test
    void requestsWhatTheRetryWouldReach() {
        budget.spend(CALLS, decisions::add);
        budget.decided(1, RetryDecision.DENIED_ALLOWANCE);
        assertEquals(List.of(new Message.Spend(CALL, 1, CALLS)), link.sent());
        assertEquals(List.of(RetryDecision.DENIED_ALLOWANCE), decisions);
    }

    /** The run fails in any case, so that its calls must not use up retries of other requests. */
    @Test
    void deniesARetryForARunThatFailsAnyway() {
        futile = true;
        budget.spend(CALLS, decisions::add);
        assertEquals(List.of(), link.sent());
        assertEquals(List.of(RetryDecision.DENIED_FUTILE), decisions);
    }

    @Test
    void deniesWhatIsPendingOnceTheCallHasEnded() {
        budget.spend(CALLS, decisions::add);
        budget.close();
        budget.spend(CALLS, decisions::add);
        assertEquals(List.of(RetryDecision.DENIED_BUDGET, RetryDecision.DENIED_BUDGET), decisions);
    }
}
