package org.verbenadyke.kernel.owner;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.routing.Rendezvous;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what a former owner vouches for to a newcomer that may not know all members yet. */
final class VouchingTest {
    private static final long RETENTION = 120_000_000_000L;
    private static final String NEWCOMER = "newcomer@1.0";

    private final VirtualTimerService clock = VirtualTimerService.startingAt(1_800_000_000_000L);
    private final MemberTable table = MemberTable.empty();
    private final OwnerView view = OwnerView.of(table, clock, OwnerSettings.withRetention(RETENTION), r -> false);

    /** The one that leaves owned the key until now; the newcomer has not heard of it and so does not ask it. */
    @Test
    void doesNotVouchForAnUpstreamThatIsAboutToLeave() {
        MemberRecord here = record("here");
        MemberRecord leaving = record("leaving");
        table.merge(here, clock.nanos());
        table.merge(leaving.withState(MemberState.DRAINING, clock.wallMillis()), clock.nanos());
        LocalUpstream local = LocalUpstream.of(
                here.upstreamId(),
                "s",
                (h, l) -> null,
                Gate.of(GateSettings.standard(), FixedLimit.of(1)),
                KeyTable.withRetention(RETENTION),
                clock);
        clock.advance(2 * RETENTION);
        String key = IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "key-" + i)
                .filter(k -> rank(NEWCOMER, k) > rank(here.upstreamId(), k))
                .filter(k -> rank(leaving.upstreamId(), k) > rank(NEWCOMER, k))
                .findFirst()
                .orElseThrow();
        assertTrue(view.unsure(local, NEWCOMER, key));
    }

    private static long rank(String upstream, String key) {
        return Rendezvous.hash(upstream, key);
    }

    private static MemberRecord record(String name) {
        Endpoint endpoint = new Endpoint("10.0.0.1", 1);
        return new MemberRecord(name, 1, 0, MemberState.ALIVE, endpoint, endpoint, new Location("r", "d"), "s", 0, 0);
    }
}
