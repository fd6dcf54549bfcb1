package org.verbenadyke.kernel.quota;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RunState;
import org.verbenadyke.kernel.team.Team;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link TeamLimiter} with one team's requests at a few nodes. */
final class TeamLimiterTest {
    private static final long SETTLED_NANOS = 20 * QuotaFleet.SECOND;
    private static final long ROUND_TRIP_NANOS = 20 * QuotaFleet.MILLI;

    private final QuotaFleet fleet = new QuotaFleet(3, 1, QuotaTolerance.none());
    private int allocator;
    private int other;

    @BeforeEach
    void settle() {
        fleet.putTeam(QuotaReplayTest.team("t", 10, 10));
        fleet.clock().advance(SETTLED_NANOS);
        allocator = fleet.allocator(0, "t");
        other = (allocator + 1) % 3;
    }

    @Test
    void admitsATeamWithoutALimitAtOnce() {
        fleet.putTeam(Team.named("free"));
        Outcome outcome = admit(other, "free");
        assertTrue(outcome.admitted);
    }

    @Test
    void admitsAtTheAllocatorAtOnce() {
        assertTrue(admit(allocator, "t").admitted);
    }

    @Test
    void admitsElsewhereAfterARoundTrip() {
        Outcome outcome = admit(other, "t");
        assertTrue(!outcome.admitted);
        fleet.clock().advance(ROUND_TRIP_NANOS);
        assertTrue(outcome.admitted);
    }

    @Test
    void refusesRequestsOverTheLimitWithARetryAfterDelay() {
        for (int i = 0; i < 10; i++) {
            admit(allocator, "t");
        }
        Outcome outcome = admit(other, "t");
        fleet.clock().advance(ROUND_TRIP_NANOS);
        assertEquals(RefusalReason.RATE_LIMITED, outcome.refusal.reason());
        assertEquals(RunState.NOT_RUN, outcome.refusal.state());
        assertTrue(outcome.refusal.retryAfterMillis() >= 50, outcome.refusal.toString());
    }

    @Test
    void reusesThePermitOfARequestThatNeverRan() {
        for (int i = 0; i < 10; i++) {
            admit(allocator, "t");
        }
        fleet.returnPermit(allocator, "t");
        assertTrue(admit(allocator, "t").admitted);
    }

    @Test
    void refusesAsUncertainWhileTheAllocatorDoesNotAnswer() {
        fleet.kill(allocator);
        Outcome outcome = admit(other, "t");
        fleet.clock().advance(300 * QuotaFleet.MILLI);
        assertEquals(RefusalReason.TEAM_UNCERTAIN, outcome.refusal.reason());
        assertTrue(outcome.refusal.retryAfterMillis() > 0);
    }

    @Test
    void asksTheNextAllocatorOnceTheSilentOneIsSuspected() {
        fleet.kill(allocator);
        fleet.clock().advance(2 * QuotaFleet.SECOND);
        Outcome outcome = admit(other, "t");
        fleet.clock().advance(ROUND_TRIP_NANOS);
        assertTrue(outcome.admitted);
    }

    private Outcome admit(int node, String team) {
        Outcome outcome = new Outcome();
        fleet.admit(node, team, outcome);
        return outcome;
    }

    /** The outcome of a request. */
    private static final class Outcome implements TeamLimiter.AdmissionCallback {
        private boolean admitted;
        private Refusal refusal;

        @Override
        public void admitted() {
            admitted = true;
        }

        @Override
        public void refused(Refusal newRefusal) {
            refusal = newRefusal;
        }
    }
}
