package org.verbenadyke.kernel.dispatch;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.budget.RootBudget;
import org.verbenadyke.kernel.call.Importance;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RequestId;
import org.verbenadyke.kernel.message.Message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link CallerRetryPolicy}. */
final class CallerRetryPolicyTest {
    private static final long MILLI = 1_000_000L;
    private static final Refusal REFUSAL = Refusal.notRun(RefusalReason.SHED_EARLY, 800);

    private final SplittableRandom random = new SplittableRandom(1);
    private final CallerRetryPolicy policy = CallerRetryPolicy.with(() -> random);

    @Test
    void prioritizesACallerThatCanStillBeAnsweredInTime() {
        policy.recordAnswer(request(0, 600, false), 240 * MILLI);
        assertTrue(policy.prioritized(request(0, 300, true), 0));
        assertFalse(policy.prioritized(request(0, 200, true), 0));
    }

    @Test
    void prioritizesNoNewCaller() {
        assertFalse(policy.prioritized(request(0, 600, false), 0));
    }

    @Test
    void assumesAQuickAnswerWhenNoneWasSeen() {
        assertTrue(policy.prioritized(request(0, 10, true), 0));
    }

    @Test
    void setsARetryAfterWithinTheTargetLatency() {
        policy.recordAnswer(request(0, 600, false), 240 * MILLI);
        long millis = policy.withRetryAfter(request(0, 600, false), REFUSAL, 0).retryAfterMillis();
        assertTrue(millis >= 180 && millis <= 360, "retries after " + millis);
    }

    @Test
    void keepsTheRetryAfterOfAQuarantinedRequest() {
        Refusal quarantined = Refusal.notRun(RefusalReason.QUARANTINED, 800);
        assertEquals(quarantined, policy.withRetryAfter(request(0, 600, false), quarantined, 0));
    }

    @Test
    void addsNoRetryAfterToARefusalWithoutOne() {
        Refusal over = Refusal.mayHaveRun(RefusalReason.DEADLINE);
        assertEquals(over, policy.withRetryAfter(request(0, 600, false), over, 0));
    }

    @Test
    void ignoresCallsInsideAChain() {
        policy.recordAnswer(request(1, 600, false), 900 * MILLI);
        assertTrue(policy.prioritized(request(0, 300, true), 0));
        assertEquals(REFUSAL, policy.withRetryAfter(request(1, 600, false), REFUSAL, 0));
    }

    private static Request request(int depth, long dueMillis, boolean returning) {
        return new Request(
                new RequestId(1, 1),
                "",
                "s",
                new Message.Content("GET", "/long/1", List.of(), new byte[0]),
                Importance.LOW,
                depth,
                2_500 * MILLI,
                dueMillis * MILLI,
                true,
                "",
                returning,
                false,
                RootBudget.of(1),
                ChainObserver.none());
    }
}
