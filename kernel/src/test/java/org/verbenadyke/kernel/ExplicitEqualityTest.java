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

/** Tests that records with explicit {@code equals} and {@code hashCode} methods compare every component. */
final class ExplicitEqualityTest {
    private static final Endpoint HERE = new Endpoint("h", 1);
    private static final Endpoint THERE = new Endpoint("h", 2);
    private static final Location LOCATION = new Location("r", "d");
    private static final Location ELSEWHERE = new Location("r", "e");

    /** Returns lists of distinct values; each value differs from the first one in one component. */
    static Stream<List<Object>> different() {
        return Stream.of(
                List.of(HERE, THERE, new Endpoint("i", 1)),
                List.of(LOCATION, ELSEWHERE, new Location("s", "d")),
                List.of(new CallId(1, 2), new CallId(1, 3), new CallId(2, 2)),
                List.of(new KeyDigest(1, 2), new KeyDigest(1, 3), new KeyDigest(2, 2)),
                List.of(
                        new Upstream("u", "s", HERE, LOCATION),
                        new Upstream("v", "s", HERE, LOCATION),
                        new Upstream("u", "t", HERE, LOCATION),
                        new Upstream("u", "s", THERE, LOCATION),
                        new Upstream("u", "s", HERE, ELSEWHERE)),
                List.of(
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, HERE, LOCATION, "s", 3, 4),
                        new MemberRecord("m", 1, 2, MemberState.ALIVE, HERE, HERE, LOCATION, "s", 3, 4),
                        new MemberRecord("n", 2, 2, MemberState.ALIVE, HERE, HERE, LOCATION, "s", 3, 4),
                        new MemberRecord("n", 1, 3, MemberState.ALIVE, HERE, HERE, LOCATION, "s", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.LEFT, HERE, HERE, LOCATION, "s", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, THERE, HERE, LOCATION, "s", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, THERE, LOCATION, "s", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, HERE, ELSEWHERE, "s", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, HERE, LOCATION, "t", 3, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, HERE, LOCATION, "s", 4, 4),
                        new MemberRecord("n", 1, 2, MemberState.ALIVE, HERE, HERE, LOCATION, "s", 3, 5)));
    }

    @ParameterizedTest
    @MethodSource("different")
    void differsInEachComponent(List<Object> values) {
        for (Object value : values.subList(1, values.size())) {
            assertNotEquals(values.get(0), value);
        }
    }

    @ParameterizedTest
    @MethodSource("different")
    void equalRecordsAreEqual(List<Object> values) {
        Object copy = different()
                .filter(l -> l.get(0).getClass() == values.get(0).getClass())
                .findFirst()
                .orElseThrow()
                .get(0);
        assertEquals(values.get(0), copy);
        assertEquals(values.get(0).hashCode(), copy.hashCode());
    }
}
