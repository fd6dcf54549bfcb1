package org.verbenadyke.kernel.owner;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.message.RecordingLink;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.serve.KeyClaims;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/**
 * Tests {@link KeyOwners} when a former owner of a key is asked.
 *
 * <p>A former owner that never saw a key gives it up and says so, and the new owner runs it. A former owner that
 * crashed and started again at the same address says the same of every key, since it has forgotten all of them: the
 * same mistake as sealing an attempt that only the process before had seen. So a question names the start that it is
 * for.
 */
final class KeyOwnersTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long RETENTION = 120 * SECOND;
    private static final String KEY = "a-key";

    private final VirtualTimerService clock = VirtualTimerService.startingAt(1_800_000_000_000L);
    private final MemberRecord leaving = record("b", 1).withState(MemberState.DRAINING, 0);
    private final LocalUpstream owner = upstream(record("a", 1));
    private final MemberTable table = MemberTable.empty();
    private final KeyOwners asking = owners(table);
    private final AtomicReference<KeyClaims.Outcome> outcome = new AtomicReference<>();

    KeyOwnersTest() {
        table.merge(record("a", 1), 0);
        table.merge(leaving, 0);
        clock.advance(2 * RETENTION);
    }

    @Test
    void runsAKeyThatTheLeavingOwnerNeverSaw() {
        claimAsking(upstream(leaving));
        assertInstanceOf(KeyClaims.Outcome.Owned.class, outcome.get());
    }

    @Test
    void doesNotRunAKeyWhenTheLeavingOwnerHasStartedAnew() {
        claimAsking(upstream(record("b", 2)));
        assertEquals(new KeyClaims.Outcome.InDoubt(), outcome.get());
    }

    private void claimAsking(LocalUpstream asked) {
        KeyOwners answering = owners(MemberTable.empty());
        RecordingLink there = new RecordingLink();
        RecordingLink back = new RecordingLink();
        asking.connectThrough((endpoint, taker) -> taker.accept(Optional.of(there)));
        asking.claim(owner, KEY, 1, outcome::set);
        there.sent().forEach(m -> answering.received(back, m, Optional.of(asked)));
        back.sent().forEach(m -> asking.received(back, m, Optional.of(owner)));
    }

    private KeyOwners owners(MemberTable members) {
        OwnerSettings settings = OwnerSettings.withRetention(RETENTION);
        return KeyOwners.create(OwnerView.of(members, clock, settings, r -> false), settings, clock, () -> false);
    }

    private LocalUpstream upstream(MemberRecord record) {
        Gate gate = Gate.of(GateSettings.standard(), FixedLimit.of(1));
        return LocalUpstream.of(
                record.upstreamId(), "s", (h, l) -> null, gate, KeyTable.withRetention(RETENTION), clock);
    }

    private static MemberRecord record(String name, long incarnation) {
        Endpoint endpoint = new Endpoint("10.0.0.1", 1);
        Location place = new Location("r", "d");
        return new MemberRecord(name, incarnation, 0, MemberState.ALIVE, endpoint, endpoint, place, "s", 0, 0);
    }
}
