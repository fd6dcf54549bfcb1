package org.verbenadyke.kernel.team;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Tests {@link TeamCheck}. */
final class TeamCheckTest {
    @Test
    void acceptsTeamsWithKeysOfTheirOwn() {
        List<TeamEntry> teams = List.of(TeamDirectoryTest.entry("a", "k", "l"), TeamDirectoryTest.entry("b", "m"));
        assertEquals(List.of(), TeamCheck.problems(teams));
    }

    @Test
    void acceptsATeamThatListsAKeyTwice() {
        assertEquals(List.of(), TeamCheck.problems(List.of(TeamDirectoryTest.entry("a", "k", "k"))));
    }

    @Test
    void refusesAKeyOfTwoTeamsWithoutShowingIt() {
        List<String> problems = TeamCheck.problems(
                List.of(TeamDirectoryTest.entry("a", "shared-key"), TeamDirectoryTest.entry("b", "shared-key")));
        assertEquals(List.of("Teams a and b share a key; give each a key of its own."), problems);
        assertFalse(problems.toString().contains("shared-key"));
    }

    @Test
    void refusesATeamThatIsListedTwice() {
        List<TeamEntry> teams = List.of(TeamDirectoryTest.entry("a", "k"), TeamDirectoryTest.entry("a", "l"));
        assertEquals(List.of("Team a is listed twice; merge the entries."), TeamCheck.problems(teams));
    }

    @ParameterizedTest
    @CsvSource({"-1, 0", "0, -0.5", "1e10, 1", "NaN, 1", "1, Infinity"})
    void refusesLimitsOutOfRange(double perSecond, double burst) {
        Team team = new Team("a", OptionalInt.empty(), Optional.of(new RateLimit(perSecond, burst)));
        assertEquals(
                1, TeamCheck.problems(List.of(new TeamEntry(team, List.of()))).size());
    }
}
