package org.verbenadyke.kernel.once;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link KeyTable}. */
final class KeyTableTest {
    private static final long RETENTION = 100;
    private static final StoredOutcome ANSWER = new StoredOutcome.CompleteAnswer(200, List.of(), new byte[] {1});

    private final KeyTable table = KeyTable.withRetention(RETENTION);

    @Test
    void grantsAKeyOnce() {
        assertInstanceOf(KeyTable.Claim.Granted.class, table.claim("k", 1, 0));
        assertInstanceOf(KeyTable.Claim.Taken.class, table.claim("k", 1, 0));
    }

    @Test
    void tellsLaterTriesTheOutcome() {
        table.claim("k", 1, 0);
        List<StoredOutcome> told = new ArrayList<>();
        ((KeyTable.Claim.Taken) table.claim("k", 1, 0)).outcome().accept(told::add);
        table.settle("k", ANSWER, 5);
        ((KeyTable.Claim.Taken) table.claim("k", 1, 6)).outcome().accept(told::add);
        assertEquals(List.of(ANSWER, ANSWER), told);
    }

    @Test
    void refusesAnotherUseOfAKey() {
        table.claim("k", 1, 0);
        assertInstanceOf(KeyTable.Claim.Reused.class, table.claim("k", 2, 0));
    }

    @Test
    void freesAKeyWhoseTryDidNotRun() {
        table.claim("k", 1, 0);
        table.withdraw("k", ANSWER);
        assertInstanceOf(KeyTable.Claim.Granted.class, table.claim("k", 1, 0));
    }

    @Test
    void neverRunsAKeyItGaveAway() {
        assertTrue(table.surrender("k", 0).isEmpty());
        assertInstanceOf(KeyTable.Claim.Sealed.class, table.claim("k", 1, 0));
    }

    @Test
    void takesBackAKeyThatItsNextOwnerHandsOn() {
        table.surrender("k", 0);
        table.adopt("k", 1, ANSWER, 5);
        assertInstanceOf(KeyTable.Claim.Taken.class, table.claim("k", 1, 6));
    }

    @Test
    void keepsRunningKeysAndForgetsOldOnes() {
        table.claim("running", 1, 0);
        table.claim("settled", 1, 0);
        table.settle("settled", ANSWER, 0);
        table.expire(RETENTION + 1);
        assertTrue(table.contains("running"));
        assertFalse(table.contains("settled"));
    }
}
