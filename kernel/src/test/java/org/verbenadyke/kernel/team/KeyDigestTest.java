package org.verbenadyke.kernel.team;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** Tests {@link KeyDigest}. */
final class KeyDigestTest {
    @Test
    void isTheBeginningOfTheKeysSha256() {
        assertEquals("ba7816bf8f01cfea414140de5dae2223", KeyDigest.of("abc").hex());
    }

    @Test
    void parsesItsOwnHexForm() {
        KeyDigest digest = KeyDigest.of("some key");
        assertEquals(Optional.of(digest), KeyDigest.parse(digest.hex()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "ba78", "ba7816bf8f01cfea414140de5dae222g", "ba7816bf8f01cfea414140de5dae22233"})
    void parsesNothingElse(String text) {
        assertEquals(Optional.empty(), KeyDigest.parse(text));
    }

    @Test
    void doesNotShowTheKey() {
        assertFalse(KeyDigest.of("secret").toString().contains("secret"));
    }
}
