package org.verbenadyke.kernel.team;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.follow.PlanStatus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the refusals sent to callers that could not be identified. */
final class RejectionPolicyTest {
    private static final long BOUND_MILLIS = 2_000;
    private static final PlanStatus RECENT = new PlanStatus(7, 100, "store", 7, 100, 2_000, BOUND_MILLIS);
    private static final PlanStatus OLD = new PlanStatus(7, 100, "store", 7, 100, 2_001, BOUND_MILLIS);
    private static final PlanStatus SUPERSEDED = new PlanStatus(7, 100, "store", 8, 100, 0, BOUND_MILLIS);

    @ParameterizedTest
    @EnumSource(KeyFault.class)
    void rejectsPermanentlyWhileAllKeysAreKnown(KeyFault fault) {
        assertEquals(
                RefusalReason.UNAUTHENTICATED,
                RejectionPolicy.refusal(fault, RECENT).reason());
    }

    @Test
    void asksTheHolderOfAKeyToRetryWhenAPeerHasANewerVersion() {
        assertEquals(
                RefusalReason.TEAM_UNCERTAIN,
                RejectionPolicy.refusal(KeyFault.UNKNOWN, SUPERSEDED).reason());
    }

    @Test
    void asksTheHolderOfAPossiblyNewKeyToRetry() {
        Refusal refusal = RejectionPolicy.refusal(KeyFault.UNKNOWN, OLD);
        assertEquals(RefusalReason.TEAM_UNCERTAIN, refusal.reason());
        assertEquals(RunState.NOT_RUN, refusal.state());
        assertTrue(refusal.retryAfterMillis() > 0);
    }

    @ParameterizedTest
    @EnumSource(value = KeyFault.class, names = "UNKNOWN", mode = EnumSource.Mode.EXCLUDE)
    void alwaysRejectsCallersWithoutAUsableKeyPermanently(KeyFault fault) {
        assertEquals(
                RefusalReason.UNAUTHENTICATED,
                RejectionPolicy.refusal(fault, OLD).reason());
    }
}
