package org.verbenadyke.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link LogReport}. */
final class LogReportTest {
    private static final String LOG = String.join(
            "\n",
            line("n1", "01.200", "\"event\":\"refused-shed-early\",\"route\":\"a\""),
            line("n2", "01.900", "\"event\":\"refused-shed-early\",\"leftOut\":4,\"route\":\"b\""),
            line("n2", "02.000", "\"event\":\"answered-failed\",\"route\":\"a\",\"status\":500"),
            line("n2", "02.000", "\"event\":\"member\",\"node\":\"n1\""),
            "a line of the virtual machine {not json}");

    @Test
    void countsByReasonRouteAndSecond() throws IOException {
        assertEquals(
                List.of(
                        "route or service  answered-failed  refused-shed-early",
                        "a                               1                   1",
                        "b                               0                   5",
                        "",
                        "second               answered-failed  refused-shed-early",
                        "2030-01-01T00:00:01                0                   6",
                        "2030-01-01T00:00:02                1                   0"),
                report(LOG).lines());
    }

    @Test
    void isEmptyForLogsWithoutMatchingLines() throws IOException {
        assertTrue(report("no log\n").isEmpty());
    }

    private static String line(String node, String seconds, String message) {
        return node + " {\"time\":\"2030-01-01T00:00:" + seconds + "Z\",\"message\":{" + message + "}}";
    }

    private static LogReport report(String log) throws IOException {
        return LogReport.read(new BufferedReader(new StringReader(log)));
    }
}
