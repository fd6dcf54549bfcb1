package org.verbenadyke.kernel.route;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link ReturningCallers}. */
final class ReturningCallersTest {
    private final ReturningCallers callers = ReturningCallers.create();

    @Test
    void recognizesACallerThatRetriesLater() {
        assertEquals(0, callers.waitedMillis("r", 5_000));
        assertEquals(800, callers.waitedMillis("r", 4_200));
        assertEquals(0, callers.waitedMillis("r", 4_999));
    }

    @Test
    void treatsAnImmediateRetryAsANewRequest() {
        callers.waitedMillis("r", 5_000);
        assertEquals(0, callers.waitedMillis("r", 4_950));
    }

    @Test
    void keepsRoutesApart() {
        callers.waitedMillis("long", 5_000);
        assertEquals(0, callers.waitedMillis("short", 600));
    }
}
