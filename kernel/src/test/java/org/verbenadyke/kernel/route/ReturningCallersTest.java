package org.verbenadyke.kernel.route;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link ReturningCallers}. */
final class ReturningCallersTest {
    private final ReturningCallers callers = ReturningCallers.create();

    @Test
    void knowsACallerThatCameBackLater() {
        assertFalse(callers.note("r", 5_000));
        assertTrue(callers.note("r", 4_200));
        assertFalse(callers.note("r", 4_999));
    }

    @Test
    void takesOneThatRepeatsAtOnceForANewOne() {
        callers.note("r", 5_000);
        assertFalse(callers.note("r", 4_950));
    }

    @Test
    void keepsRoutesApart() {
        callers.note("long", 5_000);
        assertFalse(callers.note("short", 600));
    }
}
