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

    private static final int LARGE_BYTES = 64 * 1024;

    private final KeyTable table = KeyTable.withRetention(RETENTION);

    @Test
    void grantsAKeyOnce() {
        assertInstanceOf(KeyTable.Claim.Granted.class, table.claim("k", 1, 0));
        assertInstanceOf(KeyTable.Claim.Taken.class, table.claim("k", 1, 0));
    }

    @Test
    void reportsTheOutcomeToLaterTries() {
        table.claim("k", 1, 0);
        List<StoredOutcome> outcomes = new ArrayList<>();
        ((KeyTable.Claim.Taken) table.claim("k", 1, 0)).outcome().accept(outcomes::add);
        table.settle("k", ANSWER, 5);
        ((KeyTable.Claim.Taken) table.claim("k", 1, 6)).outcome().accept(outcomes::add);
        assertEquals(List.of(ANSWER, ANSWER), outcomes);
    }

    /** A key is retained for minutes, and its answer may have tens of kilobytes. */
    @Test
    void keepsABoundedSumOfAnswersAndEachKeySettled() {
        StoredOutcome large = new StoredOutcome.CompleteAnswer(200, List.of(), new byte[LARGE_BYTES]);
        int keys = (int) (2 * KeyTable.MAX_ANSWER_BYTES / LARGE_BYTES);
        for (int i = 0; i < keys; i++) {
            table.claim("k" + i, 1, i);
            table.settle("k" + i, large, i);
        }
        List<StoredOutcome> outcomes = new ArrayList<>();
        for (int i = 0; i < keys; i++) {
            ((KeyTable.Claim.Taken) table.claim("k" + i, 1, keys)).outcome().accept(outcomes::add);
        }
        assertEquals(keys / 2, outcomes.stream().filter(large::equals).count());
        assertEquals(large, outcomes.getLast());
        assertInstanceOf(StoredOutcome.NoAnswer.class, outcomes.getFirst());
    }

    @Test
    void refusesAKeyReusedForAnotherRequest() {
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
    void neverRunsASealedKey() {
        assertTrue(table.lookUpOrSeal("k", 0).isEmpty());
        assertInstanceOf(KeyTable.Claim.Sealed.class, table.claim("k", 1, 0));
    }

    @Test
    void adoptsASealedKeyThatItsNextOwnerTransfers() {
        table.lookUpOrSeal("k", 0);
        table.adopt("k", 1, ANSWER, 5);
        assertInstanceOf(KeyTable.Claim.Taken.class, table.claim("k", 1, 6));
    }

    @Test
    void keepsRunningKeysAndExpiresSettledOnes() {
        table.claim("running", 1, 0);
        table.claim("settled", 1, 0);
        table.settle("settled", ANSWER, 0);
        table.expire(RETENTION + 1);
        assertTrue(table.contains("running"));
        assertFalse(table.contains("settled"));
    }
}
