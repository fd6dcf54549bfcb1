package org.verbenadyke.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringReader;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link LogLines}. */
final class LogLinesTest {
    private static final String MEMBER = line("n2", "'event':'member','node':'n3','state':'SUSPECT'");
    private static final String OTHER_MEMBER = line("n2", "'event':'member','node':'n9','state':'DEAD'");
    private static final String TURNED_AWAY =
            line("n3", "'event':'turned-away-draining','chain':'5-1','upstream':'n3@1.0'");
    private static final String REFUSED = line("n1", "'event':'refused-draining','request':'abc','chain':'5-1'");
    private static final String UNRELATED = line("n1", "'event':'refused-deadline','request':'x','chain':'5-2'");

    @Test
    void includesTheLastReportedStateOfTheRequestsUpstream() throws IOException {
        LogLines lines = read(MEMBER, OTHER_MEMBER, "no json {", UNRELATED, TURNED_AWAY, REFUSED);
        assertEquals(List.of(MEMBER, TURNED_AWAY, REFUSED), lines.about("abc"));
    }

    @Test
    void joinsTheQueriedNodesReportOnAnAttempt() throws IOException {
        String inquiry = line("n1", "'event':'fate-asked','chain':'5-1','attempt':'5/7','sentTo':'3','asked':'4'");
        String report = line("n3", "'event':'fate-told','attempt':'5/7','runState':'may-have-run'");
        String other = line("n3", "'event':'fate-told','attempt':'5/8','runState':'not-run'");
        assertEquals(
                List.of(inquiry, report, REFUSED),
                read(inquiry, report, other, REFUSED).about("abc"));
    }

    @Test
    void findsNothingForAnUnknownRequest() throws IOException {
        assertEquals(List.of(), read(MEMBER, REFUSED).about("unknown"));
    }

    private static String line(String node, String fields) {
        return node + " {'part':'decision','message':{".replace('\'', '"') + fields.replace('\'', '"') + "}}";
    }

    private static LogLines read(String... lines) throws IOException {
        return LogLines.read(new BufferedReader(new StringReader(String.join("\n", lines))));
    }
}
