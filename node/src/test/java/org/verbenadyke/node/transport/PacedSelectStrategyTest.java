package org.verbenadyke.node.transport;

import org.junit.jupiter.api.Test;

import io.netty.channel.SelectStrategy;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link PacedSelectStrategy}. */
final class PacedSelectStrategyTest {
    private static final int READY = 3;
    private static final int ITERATIONS = 50;

    private final PacedSelectStrategy select = PacedSelectStrategy.create();

    @Test
    void waitsForEventsWhenThereIsNothingToDo() throws Exception {
        for (int i = 0; i < ITERATIONS; i++) {
            assertEquals(SelectStrategy.SELECT, select.calculateStrategy(() -> READY, false));
        }
    }

    @Test
    void pollsForEventsWithoutWaitingWhenTasksArePending() throws Exception {
        for (int i = 0; i < ITERATIONS; i++) {
            assertEquals(READY, select.calculateStrategy(() -> READY, true));
        }
    }
}
