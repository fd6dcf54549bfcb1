package org.verbenadyke.kernel.config;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link ConfigReader} and the fold in {@link ConfigState}. */
final class ConfigReaderTest {
    private final ConfigReader reader = ConfigReader.create();

    @Test
    void ofTwoChangesOnOneBaseTheFirstWinsEverywhere() {
        reader.read(0, 2, log(0, change("a", 0, 5), change("b", 0, 7)));
        assertEquals(5, retries());
        assertTrue(decision("a").tookEffect());
        assertFalse(decision("b").tookEffect());
    }

    @Test
    void aChangeThatStandsTwiceCountsOnce() {
        reader.read(0, 3, log(0, change("a", 0, 5), change("a", 0, 5), change("c", 1, 6)));
        assertEquals(2, version());
        assertTrue(decision("a").tookEffect());
    }

    @Test
    void aChangeOnAnOldBaseNeverTakesEffect() {
        reader.read(0, 3, log(0, change("a", 0, 5), change("b", 1, 6), change("c", 0, 9)));
        assertEquals(6, retries());
    }

    @Test
    void goesOnFromASnapshotWhenTheFirstEntriesAreGone() {
        ConfigState at10 = new ConfigState(new Configuration(7, 3, List.of(), Set.of()), 10, List.of());
        reader.read(11, 14, log(11, change("x", 7, 4), new ConfigEntry.Snapshot(at10), change("y", 8, 6)));
        assertEquals(9, version());
        assertEquals(6, retries());
        assertTrue(reader.synced());
    }

    @Test
    void judgesNothingAcrossAGap() {
        reader.read(0, 1, log(0, change("a", 0, 5)));
        reader.read(40, 41, log(40, change("late", 1, 9)));
        assertEquals(1, version());
        assertFalse(reader.synced());
        reader.hear(new ConfigState(new Configuration(6, 2, List.of(), Set.of()), 39, List.of()));
        assertEquals(6, version());
        assertTrue(reader.synced());
    }

    @Test
    void neverGoesBackForAStalePeer() {
        reader.read(0, 2, log(0, change("a", 0, 5), change("b", 1, 6)));
        reader.hear(new ConfigState(new Configuration(1, 5, List.of(), Set.of()), 0, List.of()));
        assertEquals(2, version());
    }

    @Test
    void takesTheNewestThatAPeerHasWhenTheLogIsDown() {
        reader.hear(new ConfigState(new Configuration(3, 1, List.of(), Set.of()), 20, List.of()));
        assertEquals(3, version());
        assertEquals(21, reader.nextOffset());
    }

    private static Map<Long, ConfigEntry> log(long first, ConfigEntry... entries) {
        Map<Long, ConfigEntry> log = new TreeMap<>();
        for (int i = 0; i < entries.length; i++) {
            log.put(first + i, entries[i]);
        }
        return log;
    }

    private static ConfigEntry change(String id, long base, int retries) {
        return new ConfigEntry.Change(id, base, retries, List.of(), Set.of(), "me", 0);
    }

    private long version() {
        return reader.state().orElseThrow().version();
    }

    private int retries() {
        return reader.state().orElseThrow().configuration().retries();
    }

    private ConfigState.Decision decision(String id) {
        return reader.state().orElseThrow().decision(id).orElseThrow();
    }
}
