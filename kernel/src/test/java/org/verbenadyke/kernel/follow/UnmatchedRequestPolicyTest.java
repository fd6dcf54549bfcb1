package org.verbenadyke.kernel.follow;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against refusing a route for good that a newer version may have added. */
final class UnmatchedRequestPolicyTest {
    private static final long BOUND_MILLIS = 2_500;

    @Test
    void refusesForGoodWhileThePlanIsCurrent() {
        assertEquals(RefusalReason.NO_SERVICE, refusal(7, 0).reason());
        assertEquals(RefusalReason.NO_SERVICE, refusal(7, 2_500).reason());
    }

    @Test
    void asksTheCallerToRetryWhenTheStoreWasNotHeardWithinTheBound() {
        Refusal refusal = refusal(7, 2_501);
        assertEquals(RefusalReason.PLAN_UNCERTAIN, refusal.reason());
        assertEquals(RunState.NOT_RUN, refusal.state());
        assertTrue(refusal.retryAfterMillis() > 0);
    }

    @Test
    void asksTheCallerToRetryWhenAPeerHasANewerVersion() {
        assertEquals(RefusalReason.PLAN_UNCERTAIN, refusal(8, 0).reason());
    }

    private static Refusal refusal(long highestHeard, int ageMillis) {
        return UnmatchedRequestPolicy.refusal(
                new PlanStatus(7, 100, "peer", highestHeard, ageMillis, ageMillis, BOUND_MILLIS));
    }
}
