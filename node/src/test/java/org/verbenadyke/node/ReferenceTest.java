package org.verbenadyke.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.RefusalReason;
import org.verbenadyke.kernel.call.RetryReason;
import org.verbenadyke.kernel.error.ErrorCode;
import org.verbenadyke.kernel.metrics.Event;
import org.verbenadyke.node.settings.NodeSettingsReader;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the lists in the documentation against the code. */
final class ReferenceTest {
    private final String reference = read("REFERENCE.md");
    private final String settings = read("SETTINGS.md");

    @Test
    void listsEveryRefusalReason() {
        for (RefusalReason r : RefusalReason.values()) {
            assertContains(reference, "| `" + r.label() + "` | " + r.status() + " |");
        }
    }

    @Test
    void listsEveryRetryReasonAndEvent() {
        for (RetryReason r : RetryReason.values()) {
            assertContains(reference, "| `" + r.label() + "` |");
        }
        for (Event e : Event.values()) {
            assertContains(reference, "| `" + e.label() + "` |");
        }
    }

    @Test
    void listsEveryErrorCode() {
        for (ErrorCode c : ErrorCode.values()) {
            assertContains(reference, "| `" + c.code() + "` | `" + c.name() + "` |");
        }
    }

    @Test
    void listsEverySetting() {
        NodeSettingsReader.KEYS.forEach(
                (section, keys) -> keys.forEach(k -> assertContains(settings, "| `" + section + "` | `" + k + "` |")));
    }

    private static void assertContains(String page, String line) {
        assertTrue(page.contains(line), "missing: " + line);
    }

    private static String read(String page) {
        try {
            return Files.readString(Path.of("..", "docs", page));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
