package org.verbenadyke.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.error.VerbenadykeException;
import org.verbenadyke.kernel.routing.Locality;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link NodeSettingsReader}. */
final class NodeSettingsReaderTest {
    private static final String GOOD = """
            [node]
            id = a
            region = r
            data-centre = d
            [listen]
            peers = 127.0.0.1:1001
            entry = 127.0.0.1:1002
            local = 127.0.0.1:1003
            control = 127.0.0.1:1004
            """;

    @TempDir
    private Path folder;

    @Test
    void readsAMinimalFile() throws IOException {
        NodeSettings settings = read(GOOD);
        assertEquals("a", settings.id());
        assertEquals(1004, settings.control().port());
    }

    /** Guards against a locality that changes deployments without the setting, or only a part of the decisions. */
    @Test
    void readsTheLocality() throws IOException {
        Policy standard = read(GOOD).policy();
        assertEquals(Locality.STANDARD, standard.locality());
        assertFalse(standard.dispatch().brokenRetriedElsewhere());
        Policy slack = read(GOOD + "[routing]\nlocality = slack\n").policy();
        assertEquals(Locality.SLACK, slack.locality());
        assertTrue(slack.dispatch().brokenRetriedElsewhere());
    }

    @Test
    void reportsAllProblemsAtOnce() {
        InvalidSettingsException e = assertThrows(InvalidSettingsException.class, () -> read("""
                        [node]
                        id = a
                        data-center = d
                        region = r
                        [listen]
                        peers = 127.0.0.1:99999
                        entry = 127.0.0.1:1002
                        local = 127.0.0.1:1003
                        [policy]
                        chooser = best
                        subset-size = many
                        [extra]
                        a = b
                        """));
        List<String> problems = e.problems();
        assertProblem(problems, ErrorCode.SETTINGS_UNKNOWN_SECTION, "[extra]");
        assertProblem(problems, ErrorCode.SETTINGS_UNKNOWN_KEY, "data-center");
        assertProblem(problems, ErrorCode.SETTINGS_MISSING_KEY, "data-centre");
        assertProblem(problems, ErrorCode.SETTINGS_MISSING_KEY, "control");
        assertProblem(problems, ErrorCode.SETTINGS_BAD_VALUE, "peers");
        assertProblem(problems, ErrorCode.SETTINGS_BAD_VALUE, "chooser");
        assertProblem(problems, ErrorCode.SETTINGS_BAD_VALUE, "subset-size");
        assertEquals(7, problems.size(), problems.toString());
    }

    @Test
    void reportsAMissingSection() {
        InvalidSettingsException e = assertThrows(InvalidSettingsException.class, () -> read("[node]\nid = a\n"));
        assertProblem(e.problems(), ErrorCode.SETTINGS_MISSING_SECTION, "[listen]");
    }

    @Test
    void reportsAnUnreadableFile() {
        VerbenadykeException e =
                assertThrows(VerbenadykeException.class, () -> NodeSettingsReader.read(folder.resolve("none.ini")));
        assertEquals(ErrorCode.SETTINGS_UNREADABLE, e.code());
    }

    private NodeSettings read(String text) throws IOException {
        Path file = folder.resolve("node.ini");
        Files.writeString(file, text);
        return NodeSettingsReader.read(file);
    }

    private static void assertProblem(List<String> problems, ErrorCode code, String what) {
        assertTrue(
                problems.stream().anyMatch(p -> p.startsWith(code.code()) && p.contains(what)),
                code + " " + what + " in " + problems);
    }
}
