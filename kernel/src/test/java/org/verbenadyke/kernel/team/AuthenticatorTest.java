package org.verbenadyke.kernel.team;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link Authenticator}. */
final class AuthenticatorTest {
    private static final TeamDirectory TEAMS =
            TeamDirectory.of(List.of(TeamDirectoryTest.entry("a", "k"), TeamDirectoryTest.entry("b", "l")));

    @Test
    void identifiesTheHolderOfAKey() {
        assertEquals(new Identity.Known(Team.named("b")), Authenticator.identify(TEAMS, false, List.of("l")));
    }

    @Test
    void rejectsARequestWithoutAKey() {
        assertEquals(rejected(KeyFault.MISSING), Authenticator.identify(TEAMS, false, List.of()));
        assertEquals(rejected(KeyFault.MISSING), Authenticator.identify(TEAMS, false, List.of("")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"K", "k ", " k", "kk", "k, l", "\u00e9"})
    void rejectsAKeyThatNobodyHolds(String key) {
        assertEquals(rejected(KeyFault.UNKNOWN), Authenticator.identify(TEAMS, false, List.of(key)));
    }

    @Test
    void rejectsSeveralKeysEvenIfOneIsGood() {
        assertEquals(rejected(KeyFault.REPEATED), Authenticator.identify(TEAMS, false, List.of("k", "k")));
        assertEquals(rejected(KeyFault.REPEATED), Authenticator.identify(TEAMS, false, List.of("", "k")));
    }

    @Test
    void rejectsAKeyThatIsLongerThanAnyMayBe() {
        String longKey = "x".repeat(Authenticator.MAX_KEY_LENGTH + 1);
        assertEquals(rejected(KeyFault.TOO_LONG), Authenticator.identify(TEAMS, false, List.of(longKey)));
    }

    @Test
    void rejectsNobodyOnARouteThatIsOpenToAll() {
        assertEquals(new Identity.Anonymous(), Authenticator.identify(TEAMS, true, List.of()));
        assertEquals(new Identity.Anonymous(), Authenticator.identify(TEAMS, true, List.of("wrong")));
        assertEquals(new Identity.Known(Team.named("a")), Authenticator.identify(TEAMS, true, List.of("k")));
    }

    private static Identity rejected(KeyFault fault) {
        return new Identity.Rejected(fault);
    }
}
