package org.verbenadyke.kernel.serve;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that a {@link SuspectLane} lets calls run one at a time. */
final class SuspectLaneTest {
    private final SuspectLane lane = SuspectLane.free();
    private final List<String> resumed = new ArrayList<>();
    private final SuspectLane.Suspected a = () -> resumed.add("a");
    private final SuspectLane.Suspected b = () -> resumed.add("b");
    private final SuspectLane.Suspected c = () -> resumed.add("c");

    @Test
    void letsTheNextRunWhenOneHasEnded() {
        assertTrue(lane.enter(a));
        assertFalse(lane.enter(b));
        assertFalse(lane.enter(c));
        lane.leave(a);
        assertEquals(List.of("b"), resumed);
        assertTrue(lane.enter(b), "the one that was resumed asks again at its hand-over");
        lane.leave(b);
        lane.leave(c);
        assertEquals(List.of("b", "c"), resumed);
        assertTrue(lane.enter(a));
    }

    @Test
    void passesOverOneThatGaveUpWaiting() {
        lane.enter(a);
        lane.enter(b);
        lane.enter(c);
        lane.leave(b);
        lane.leave(a);
        assertEquals(List.of("c"), resumed);
    }
}
