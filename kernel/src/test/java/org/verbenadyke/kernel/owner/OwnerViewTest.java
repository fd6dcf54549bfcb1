package org.verbenadyke.kernel.owner;

import java.util.Optional;
import java.util.UUID;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.admission.FixedLimit;
import org.verbenadyke.kernel.admission.Gate;
import org.verbenadyke.kernel.admission.GateSettings;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.once.KeyTable;
import org.verbenadyke.kernel.once.Ownership;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.routing.Rendezvous;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.serve.LocalUpstream;
import org.verbenadyke.kernel.time.VirtualTimerService;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link OwnerView}. */
final class OwnerViewTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long RETENTION = 120 * SECOND;
    private static final Location PLACE = new Location("r", "d");
    private static final Endpoint END = new Endpoint("10.0.0.1", 1);

    private final VirtualTimerService clock = VirtualTimerService.startingAt(1_800_000_000_000L);
    private final MemberTable table = MemberTable.empty();
    private final OwnerView view = OwnerView.of(table, clock, OwnerSettings.withRetention(RETENTION), r -> false);

    @Test
    void onlyTheHighestRankOwnsAKey() {
        LocalUpstream a = member("a", 1);
        LocalUpstream b = member("b", 1);
        clock.advance(2 * RETENTION);
        String key = keyNow();
        boolean aFirst = Rendezvous.hash(a.id(), key) > Rendezvous.hash(b.id(), key);
        assertInstanceOf(Ownership.Owned.class, view.of(aFirst ? a : b, key));
        assertInstanceOf(Ownership.Elsewhere.class, view.of(aFirst ? b : a, key));
    }

    @Test
    void needsTheNextInRankToVouchWhileNew() {
        LocalUpstream a = member("a", 1);
        LocalUpstream b = member("b", 1);
        clock.advance(5 * SECOND);
        String key = keyOwnedBy(a, b);
        assertEquals(Optional.of(b.id()), voucher(view.of(a, key)));
        clock.advance(2 * RETENTION);
        assertEquals(Optional.empty(), voucher(view.of(a, key)));
    }

    @Test
    void doubtsKeysOlderThanTheDeathOfAnotherOwner() {
        LocalUpstream a = member("a", 1);
        member("b", 1);
        clock.advance(2 * RETENTION);
        String before = keyNow();
        clock.advance(SECOND);
        table.merge(record("b", 1).withState(MemberState.DEAD, clock.wallMillis()), clock.nanos());
        assertInstanceOf(Ownership.Uncertain.class, view.of(a, before));
        clock.advance(3 * SECOND);
        assertInstanceOf(Ownership.Owned.class, view.of(a, keyNow()));
        assertInstanceOf(Ownership.Uncertain.class, view.of(a, "a-key-that-tells-no-time"));
        clock.advance(RETENTION);
        assertInstanceOf(Ownership.Owned.class, view.of(a, "a-key-that-tells-no-time"));
    }

    @Test
    void trustsAPlannedStopThatHandedItsKeysOn() {
        LocalUpstream a = member("a", 1);
        MemberRecord b = record("b", 1);
        table.merge(b, clock.nanos());
        clock.advance(2 * RETENTION);
        String before = keyNow();
        view.handedOn(b.upstreamId());
        table.merge(b.withState(MemberState.LEFT, clock.wallMillis()), clock.nanos());
        assertInstanceOf(Ownership.Owned.class, view.of(a, before));
    }

    @Test
    void aFormerOwnerDoesNotVouchForAThirdOne() {
        LocalUpstream a = member("a", 1);
        LocalUpstream b = member("b", 1);
        clock.advance(2 * RETENTION);
        String key = keyOwnedBy(b, a);
        assertTrue(view.unsure(a, "a-newcomer", key));
        assertFalse(view.unsure(a, b.id(), key));
    }

    @Test
    void asksAnUpstreamThatDrains() {
        LocalUpstream a = member("a", 1);
        MemberRecord b = record("b", 1);
        table.merge(b.withState(MemberState.DRAINING, clock.wallMillis()), clock.nanos());
        clock.advance(2 * RETENTION);
        assertEquals(1, ((Ownership.Owned) view.of(a, keyNow())).askFirst().size());
    }

    private static Optional<String> voucher(Ownership ownership) {
        return ((Ownership.Owned) ownership).voucher().map(Upstream::id);
    }

    private LocalUpstream member(String name, long incarnation) {
        MemberRecord record = record(name, incarnation);
        table.merge(record, clock.nanos());
        Gate gate = Gate.of(GateSettings.standard(), FixedLimit.of(1));
        return LocalUpstream.of(
                record.upstreamId(), "s", (h, l) -> null, gate, KeyTable.withRetention(RETENTION), clock);
    }

    private static MemberRecord record(String name, long incarnation) {
        return new MemberRecord(name, incarnation, 0, MemberState.ALIVE, END, END, PLACE, "s", 0, 0);
    }

    private String keyOwnedBy(LocalUpstream owner, LocalUpstream other) {
        String key = keyNow();
        while (Rendezvous.hash(owner.id(), key) < Rendezvous.hash(other.id(), key)) {
            key = keyNow();
        }
        return key;
    }

    private String keyNow() {
        UUID random = UUID.randomUUID();
        long high = clock.wallMillis() << 16 | 0x7000L | random.getMostSignificantBits() & 0xfffL;
        return new UUID(high, random.getLeastSignificantBits()).toString();
    }
}
