package org.verbenadyke.kernel.team;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link TeamDirectory}. */
final class TeamDirectoryTest {
    private static final int MANY = 10_000;

    @Test
    void findsTheHolderOfEachKeyAmongMany() {
        TeamDirectory directory = TeamDirectory.of(IntStream.range(0, MANY)
                .mapToObj(i -> entry("team-" + i, "key-" + i, "other-" + i))
                .toList());
        for (int i = 0; i < MANY; i++) {
            assertEquals(Optional.of(Team.named("team-" + i)), directory.holder(KeyDigest.of("other-" + i)));
        }
        assertEquals(Optional.empty(), directory.holder(KeyDigest.of("key-" + MANY)));
    }

    static TeamEntry entry(String name, String... keys) {
        return new TeamEntry(
                Team.named(name), List.of(keys).stream().map(KeyDigest::of).toList());
    }
}
