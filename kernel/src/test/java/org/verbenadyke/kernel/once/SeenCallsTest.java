package org.verbenadyke.kernel.once;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.CallId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link SeenCalls}. */
public class SeenCallsTest {
    private static final CallId ID = new CallId(1, 1);

    private final SeenCalls shared = SeenCalls.startingAt(0);

    @Operation
    public boolean claim() {
        return shared.claim(ID);
    }

    @Test
    public void remembersForOneGeneration() {
        SeenCalls seen = SeenCalls.startingAt(0);
        assertTrue(seen.claim(ID));
        seen.rotate(() -> 1);
        assertFalse(seen.claim(ID));
        seen.rotate(() -> 2);
        seen.rotate(() -> 3);
        assertEquals(0, seen.size());
    }

    @Test
    public void reachesBackAsFarAsItKeepsIds() {
        SeenCalls seen = SeenCalls.startingAt(10);
        assertFalse(seen.coversSince(9));
        assertTrue(seen.coversSince(10));
        seen.rotate(() -> 20);
        assertTrue(seen.coversSince(10));
        seen.rotate(() -> 30);
        assertFalse(seen.coversSince(19));
        assertTrue(seen.coversSince(20));
    }

    @Test
    public void exactlyOneClaimSucceeds() {
        new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(2)
                .check(SeenCallsTest.class);
    }
}
