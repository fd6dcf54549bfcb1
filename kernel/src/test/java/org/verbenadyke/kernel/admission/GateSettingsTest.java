package org.verbenadyke.kernel.admission;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link GateSettings}. */
final class GateSettingsTest {
    private static final long MILLI = 1_000_000L;

    @Test
    void aFastUpstreamMayHaveALongQueueThatIsServedInTime() {
        assertEquals(160, GateSettings.standard().maxQueueLength(16, MILLI));
    }

    @Test
    void aSlowUpstreamHasAShortQueue() {
        assertEquals(8, GateSettings.standard().maxQueueLength(16, 100 * MILLI));
        assertEquals(50, GateSettings.standard().maxQueueLength(100, 100 * MILLI));
    }
}
