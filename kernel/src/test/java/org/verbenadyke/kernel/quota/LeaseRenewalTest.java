package org.verbenadyke.kernel.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.Refusal;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.message.Message;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.team.Team;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against leases that outlive what their allocator counts, renewed by a node that does not allocate. */
final class LeaseRenewalTest implements AllocatorDirectory, TeamLimiter.AdmissionCallback {
    private static final Team TEAM = QuotaReplayTest.team("t", 10, 10);

    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final List<Message.QuotaRequest> requests = new ArrayList<>();
    private final TeamLimiter limiter = TeamLimiter.create(
            new TeamLimiter.Parts(
                    "n0",
                    clock,
                    () -> new SplittableRandom(1),
                    this,
                    name -> Optional.of(TEAM),
                    (node, message, unreachable) -> requests.add((Message.QuotaRequest) message)),
            QuotaSettings.with(QuotaTolerance.none()));
    private int admitted;

    @Test
    void aReplyOfANodeThatDoesNotAllocateRenewsNoLease() {
        for (int i = 0; i < 10; i++) {
            limiter.admit(TEAM, this);
        }
        reply(true, 12);
        clock.advance(600 * QuotaFleet.MILLI);
        limiter.admit(TEAM, this);
        assertEquals(2, requests.size(), "requests for permits, while one permit is left");
        reply(false, 0);
        clock.advance(1_400 * QuotaFleet.MILLI);
        limiter.admit(TEAM, this);
        assertEquals(11, admitted, "admitted before and after the lease expired");
        assertEquals(1, requests.getLast().returned(), "expired permits returned");
    }

    private void reply(boolean fromAllocator, int granted) {
        limiter.received(null, new Message.QuotaReply(requests.getLast().ticket(), "t", fromAllocator, granted, 0, 0));
    }

    @Override
    public Optional<MemberRecord> allocator(String team) {
        Endpoint at = new Endpoint("h", 1);
        return Optional.of(new MemberRecord("n1", 1, 1, MemberState.ALIVE, at, at, new Location("r", "d"), "s", 0, 0));
    }

    @Override
    public boolean isLocal(String team) {
        return false;
    }

    @Override
    public double share() {
        return 1;
    }

    @Override
    public boolean membershipStable() {
        return true;
    }

    @Override
    public int aliveMembers() {
        return 2;
    }

    @Override
    public void membersChanged() {}

    @Override
    public long sinceNanos() {
        return 0;
    }

    @Override
    public void admitted() {
        admitted++;
    }

    @Override
    public void refused(Refusal refusal) {}
}
