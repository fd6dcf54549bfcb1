package org.verbenadyke.node.transport;

import org.junit.jupiter.api.Test;

import io.netty.channel.SelectStrategy;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link PacedSelect}. */
final class PacedSelectTest {
    private static final int READY = 3;
    private static final int TURNS = 50;

    private final PacedSelect select = PacedSelect.create();

    @Test
    void waitsForEventsWhenThereIsNothingToDo() throws Exception {
        for (int i = 0; i < TURNS; i++) {
            assertEquals(SelectStrategy.SELECT, select.calculateStrategy(() -> READY, false));
        }
    }

    @Test
    void looksForEventsWithoutWaitingWhenTasksAreAtHand() throws Exception {
        for (int i = 0; i < TURNS; i++) {
            assertEquals(READY, select.calculateStrategy(() -> READY, true));
        }
    }
}
