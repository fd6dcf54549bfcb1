package org.verbenadyke.kernel.team;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the refusals sent to callers that could not be identified. */
final class RejectionPolicyTest {
    private static final long RECENT_MILLIS = 100;
    private static final long OLD_MILLIS = 10_000;

    @ParameterizedTest
    @EnumSource(KeyFault.class)
    void rejectsPermanentlyWhileAllKeysAreKnown(KeyFault fault) {
        assertEquals(
                RefusalReason.UNAUTHENTICATED,
                RejectionPolicy.refusal(fault, RECENT_MILLIS).reason());
    }

    @Test
    void asksTheHolderOfAPossiblyNewKeyToRetry() {
        Refusal refusal = RejectionPolicy.refusal(KeyFault.UNKNOWN, OLD_MILLIS);
        assertEquals(RefusalReason.TEAM_UNCERTAIN, refusal.reason());
        assertEquals(RunState.NOT_RUN, refusal.state());
        assertTrue(refusal.retryAfterMillis() > 0);
    }

    @ParameterizedTest
    @EnumSource(value = KeyFault.class, names = "UNKNOWN", mode = EnumSource.Mode.EXCLUDE)
    void alwaysRejectsCallersWithoutAUsableKeyPermanently(KeyFault fault) {
        assertEquals(
                RefusalReason.UNAUTHENTICATED,
                RejectionPolicy.refusal(fault, OLD_MILLIS).reason());
    }
}
