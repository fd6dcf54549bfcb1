package org.verbenadyke.kernel.core;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.membership.MemberTable;
import org.verbenadyke.kernel.quarantine.RequestDigest;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests whose turn it is to try a quarantined request. */
final class MemberDutiesTest {
    private static final RequestDigest REQUEST = new RequestDigest(1, 2, 3);
    private static final RequestDigest OTHER = new RequestDigest(4, 5, 6);
    private static final Endpoint AT = new Endpoint("10.0.0.1", 1);

    private final MemberTable table = MemberTable.empty();
    private final List<MemberRecord> accepting = List.of(
            member("a", "s", MemberState.ALIVE),
            member("b", "s", MemberState.ALIVE),
            member("c", "s", MemberState.ALIVE));

    MemberDutiesTest() {
        accepting.forEach(r -> table.merge(r, 0));
        table.merge(member("leaving", "s", MemberState.DRAINING), 0);
        table.merge(member("other", "t", MemberState.ALIVE), 0);
    }

    @Test
    void givesEachAcceptingUpstreamATurn() {
        MemberDuties duties = MemberDuties.of(accepting::getFirst, table);
        Set<String> turns = LongStream.range(0, 3)
                .mapToObj(t -> duties.upstream(REQUEST, "s", t).orElseThrow())
                .collect(Collectors.toSet());
        assertEquals(accepting.stream().map(MemberRecord::upstreamId).collect(Collectors.toSet()), turns);
        assertEquals(duties.upstream(REQUEST, "s", 1), duties.upstream(REQUEST, "s", 4));
        assertEquals(Optional.empty(), duties.upstream(REQUEST, "unknown", 0));
    }

    @Test
    void givesTheTurnToOneUpstreamAtATime() {
        for (RequestDigest request : List.of(REQUEST, OTHER)) {
            for (long turn = 0; turn < 10; turn++) {
                long t = turn;
                long local = accepting.stream()
                        .filter(r -> MemberDuties.of(() -> r, table).isLocal(request, t))
                        .count();
                assertEquals(1, local);
            }
        }
    }

    private static MemberRecord member(String id, String service, MemberState state) {
        return new MemberRecord(id, 1, 0, state, AT, AT, new Location("r", "d"), service, 0, 0);
    }
}
