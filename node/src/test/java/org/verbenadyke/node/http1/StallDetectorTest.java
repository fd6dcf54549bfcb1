package org.verbenadyke.node.http1;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link StallDetector}. */
final class StallDetectorTest {
    private static final long PAUSE = StallDetector.MAX_PAUSE_NANOS;

    private final StallDetector detector = new StallDetector();

    /** A body that takes long must not count as stalled while parts arrive. */
    @Test
    void measuresThePauseSinceTheLastPart() {
        detector.begin(0);
        assertFalse(detector.stalled(PAUSE));
        detector.partArrived(PAUSE);
        assertFalse(detector.stalled(2 * PAUSE));
        assertTrue(detector.stalled(2 * PAUSE + 1));
    }

    @Test
    void watchesOnlyWhileABodyArrives() {
        assertFalse(detector.stalled(PAUSE + 1));
        detector.begin(0);
        detector.end();
        assertFalse(detector.stalled(PAUSE + 1));
    }
}
