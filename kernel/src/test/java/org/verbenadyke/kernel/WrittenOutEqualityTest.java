package org.verbenadyke.kernel;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenadyke.kernel.call.CallId;
import org.verbenadyke.kernel.membership.MemberRecord;
import org.verbenadyke.kernel.membership.MemberState;
import org.verbenadyke.kernel.routing.Endpoint;
import org.verbenadyke.kernel.routing.Location;
import org.verbenadyke.kernel.routing.Upstream;
import org.verbenadyke.kernel.team.KeyDigest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/** Tests that records whose equality is written out compare every component. */
final class WrittenOutEqualityTest {
    private static final Endpoint HERE = new Endpoint("h", 1);
    private static final Endpoint THERE = new Endpoint("h", 2);
    private static final Location PLACE = new Location("r", "d");
    private static final Location ELSEWHERE = new Location("r", "e");

    /** Lists of values that all differ, each from the first in one component. */
    static Stream<List<Object>> different() {
        return Stream.of(
                List.of(HERE, THERE, new Endpoint("i", 1)),
                List.of(PLACE, ELSEWHERE, new Location("s", "d")),
                List.of(new CallId(1, 2), new CallId(1, 3), new CallId(2, 2)),
                List.of(new KeyDigest(1, 2), new KeyDigest(1, 3), new KeyDigest(2, 2)),
                List.of(
                        new Upstream("u", "s", HERE, PLACE),
                        new Upstream("v", "s", HERE, PLACE),
                        new Upstream("u", "t", HERE, PLACE),
                        new Upstream("u", "s", THERE, PLACE),
                        new Upstream("u", "s", HERE, ELSEWHERE)),
                List.of(
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, HERE, PLACE, "s", 3, 4),
                        new MemberRecord("m", 1, 2, MemberState.ALIVE, HERE, HERE, PLACE, "s", 3, 4),
                        new MemberRecord("n", 2, 2, MemberState.ALIVE, HERE, HERE, PLACE, "s", 3, 4),
                        new MemberRecord("n", 1, 3, MemberState.ALIVE, HERE, HERE, PLACE, "s", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.LEFT, HERE, HERE, PLACE, "s", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, THERE, HERE, PLACE, "s", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, THERE, PLACE, "s", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, HERE, ELSEWHERE, "s", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, HERE, PLACE, "t", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, HERE, PLACE, "s", 4, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, HERE, PLACE, "s", 3, 5)));
    }

    @ParameterizedTest
    @MethodSource("different")
    void tellsEachComponentApart(List<Object> values) {
        for (Object value : values.subList(1, values.size())) {
            assertNotEquals(values.get(0), value);
        }
    }

    @ParameterizedTest
    @MethodSource("different")
    void findsEqualOnesEqual(List<Object> values) {
        Object copy = different()
                .filter(l -> l.get(0).getClass() == values.get(0).getClass())
                .findFirst()
                .orElseThrow()
                .get(0);
        assertEquals(values.get(0), copy);
        assertEquals(values.get(0).hashCode(), copy.hashCode());
    }
}
