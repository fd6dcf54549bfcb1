package org.verbenadyke.standins.upstream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Tests that {@link ArrivalLog} finds what it is there to find. */
final class ArrivalLogTest {
    private long now;
    private final ArrivalLog log = new ArrivalLog(() -> now);

    @Test
    void findsMoreRequestsThanTheLimitAllows() {
        log.limit(2);
        log.answered("n");
        arrive("n", 100, 60);
        assertFalse(log.violations().isEmpty());
    }

    @Test
    void acceptsTheLimitItself() {
        log.limit(2);
        log.answered("n");
        arrive("n", 500, 40);
        assertEquals(0, log.violations().size());
    }

    @Test
    void excusesANodeThatWasSentNoAnswerWithTheLimit() {
        log.limit(2);
        log.answered("other");
        arrive("n", 100, 60);
        assertEquals(0, log.violations().size());
    }

    private void arrive(String node, long gapMillis, int count) {
        for (int i = 0; i < count; i++) {
            now += gapMillis;
            log.arrived(node);
        }
    }
}
