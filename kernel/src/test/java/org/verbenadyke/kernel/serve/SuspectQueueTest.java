package org.verbenadyke.kernel.serve;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that a {@link SuspectQueue} runs calls one at a time. */
final class SuspectQueueTest {
    private final SuspectQueue queue = SuspectQueue.empty();
    private final List<String> resumed = new ArrayList<>();
    private final SuspectQueue.SuspectedCall a = () -> resumed.add("a");
    private final SuspectQueue.SuspectedCall b = () -> resumed.add("b");
    private final SuspectQueue.SuspectedCall c = () -> resumed.add("c");

    @Test
    void startsTheNextCallWhenOneEnds() {
        assertTrue(queue.tryStart(a));
        assertFalse(queue.tryStart(b));
        assertFalse(queue.tryStart(c));
        queue.finish(a);
        assertEquals(List.of("b"), resumed);
        assertTrue(queue.tryStart(b), "a resumed call checks again at its hand-over");
        queue.finish(b);
        queue.finish(c);
        assertEquals(List.of("b", "c"), resumed);
        assertTrue(queue.tryStart(a));
    }

    @Test
    void skipsACallThatLeftTheQueue() {
        queue.tryStart(a);
        queue.tryStart(b);
        queue.tryStart(c);
        queue.finish(b);
        queue.finish(a);
        assertEquals(List.of("c"), resumed);
    }
}
