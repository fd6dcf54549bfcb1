package org.verbenadyke.node.http1;

import java.util.List;

import org.apache.logging.log4j.Level;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.time.VirtualTimerService;
import org.verbenadyke.node.trace.RecordedLog;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a log line for each of very many broken answers. */
final class FaultLogTest {
    private static final int FAULTS = 100_000;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final RecordedLog log = RecordedLog.of("http", Level.INFO);
    private final List<String> lines = log.lines();
    private final VirtualTimerService clock = VirtualTimerService.startingAt(0);
    private final FaultLog faults = FaultLog.of(clock);

    @AfterEach
    void stop() {
        log.close();
    }

    @Test
    void logsTheFirstFaultsOfASecondAndTheNumberOfTheOthers() {
        report(FAULTS);
        assertEquals(FaultLog.MAX_LINES_PER_SECOND, lines.size());
        clock.advance(SECOND_NANOS);
        report(1);
        assertEquals(FaultLog.MAX_LINES_PER_SECOND + 2, lines.size());
        int suppressed = FAULTS - FaultLog.MAX_LINES_PER_SECOND;
        assertEquals(suppressed + " faults like the next one were not logged.", lines.get(lines.size() - 2));
    }

    @Test
    void logsFewFaultsInFull() {
        report(FaultLog.MAX_LINES_PER_SECOND);
        clock.advance(SECOND_NANOS);
        report(1);
        assertEquals(FaultLog.MAX_LINES_PER_SECOND + 1, lines.size());
        assertEquals("fault 0", lines.getLast());
    }

    private void report(int count) {
        for (int i = 0; i < count; i++) {
            faults.report("fault {}", i);
        }
    }
}
