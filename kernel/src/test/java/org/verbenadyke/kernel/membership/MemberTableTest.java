package org.verbenadyke.kernel.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link MemberTable}. */
final class MemberTableTest {
    private static final Endpoint END = new Endpoint("10.0.0.1", 1);

    @Test
    void mergesToTheSameTableInEveryOrder() {
        List<MemberRecord> records = new ArrayList<>();
        for (int node = 0; node < 5; node++) {
            for (int version = 0; version < 4; version++) {
                for (MemberState state : MemberState.values()) {
                    records.add(record("n" + node, version % 2, version, state));
                }
            }
        }
        Random random = new Random(1);
        long digest = digest(records);
        for (int i = 0; i < 20; i++) {
            Collections.shuffle(records, random);
            assertEquals(digest, digest(records));
        }
    }

    @Test
    void anOlderRecordRevivesNoMember() {
        MemberTable table = MemberTable.empty();
        table.merge(record("a", 1, 3, MemberState.LEFT), 0);
        assertFalse(table.merge(record("a", 1, 2, MemberState.ALIVE), 0));
        assertTrue(table.accepting().isEmpty());
    }

    @Test
    void onlyTheMemberItselfRefutes() {
        MemberTable table = MemberTable.empty();
        table.merge(record("a", 1, 3, MemberState.DEAD), 0);
        assertFalse(table.merge(record("a", 1, 3, MemberState.ALIVE), 0));
        assertTrue(table.merge(record("a", 1, 4, MemberState.ALIVE), 0));
    }

    @Test
    void recordsTheDepartureOfAnUpstreamThatRestarted() {
        MemberTable table = MemberTable.empty();
        table.merge(record("a", 1, 0, MemberState.ALIVE), 0);
        table.merge(record("a", 2, 0, MemberState.ALIVE), 5);
        assertEquals(1, table.departures().size());
        assertFalse(table.departures().iterator().next().planned());
    }

    @Test
    void removesExpiredMembersWithoutLearningThemAgain() {
        long hour = 3_600_000_000_000L;
        MemberTable early = MemberTable.empty();
        MemberTable late = MemberTable.empty();
        early.merge(record("a", 1, 0, MemberState.LEFT), 0);
        late.merge(record("a", 1, 0, MemberState.LEFT), hour);
        early.expire(hour + 1, hour / 1_000_000, hour);
        late.expire(hour + 1, hour / 1_000_000, hour);
        assertEquals(0, early.records().size());
        assertEquals(1, late.records().size());
        assertEquals(early.digest(), late.digest());
        assertEquals(List.of(), late.compared());
    }

    private static long digest(List<MemberRecord> records) {
        MemberTable table = MemberTable.empty();
        records.forEach(r -> table.merge(r, 0));
        return table.digest();
    }

    private static MemberRecord record(String node, long incarnation, long version, MemberState state) {
        return new MemberRecord(node, incarnation, version, state, END, END, new Location("r", "d"), "s", 0, 0);
    }
}
