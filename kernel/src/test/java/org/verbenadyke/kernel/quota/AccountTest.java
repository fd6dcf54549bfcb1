package org.verbenadyke.kernel.quota;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.team.RateLimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the permits of one team. */
final class AccountTest {
    private static final long SECOND = 1_000_000_000L;
    private static final RateLimit LIMIT = new RateLimit(10, 20);

    private final Account account = new Account(QuotaSettings.with(QuotaTolerance.none()), 0);

    @Test
    void beginsEmptyAndFillsAtTheRateUpToTheBurst() {
        assertEquals(0, deal("a", 0, 100, 0).granted());
        assertEquals(10, deal("a", 0, 100, SECOND).granted());
        assertEquals(20, deal("a", 0, 100, 100 * SECOND).granted());
    }

    @Test
    void countsWhatNodesHoldAsPartOfTheBurst() {
        assertEquals(20, deal("a", 0, 20, 10 * SECOND).granted());
        assertEquals(0, deal("b", 0, 20, 10 * SECOND).granted());
        assertEquals(0, deal("b", 0, 20, 11 * SECOND).granted());
        assertEquals(20, deal("b", 0, 20, 15 * SECOND).granted());
    }

    @Test
    void takesPermitsBackThatWereNotUsed() {
        deal("a", 0, 20, 10 * SECOND);
        Demand givesBack = new Demand(0, 15, 0, 0);
        account.deal("a", givesBack, LIMIT, 1, 10 * SECOND);
        assertEquals(15, deal("b", 0, 20, 10 * SECOND).granted());
    }

    @Test
    void dealsItsPartOfTheLimitOnly() {
        Deal deal = account.deal("a", new Demand(0, 0, 100, 100), LIMIT, 0.5, 100 * SECOND);
        assertEquals(10, deal.granted());
    }

    @Test
    void leavesSomeForOthersWhereNobodyWaits() {
        Deal ahead = account.deal("a", new Demand(0, 0, 1, 100), LIMIT, 1, 10 * SECOND);
        assertEquals(5, ahead.granted());
        assertEquals(0, ahead.afterMillis());
    }

    @Test
    void tellsCallersThatComeTooOftenToComeBackOneAfterTheOther() {
        long first = deal("a", 0, 1, 0).afterMillis();
        long second = deal("b", 0, 1, 0).afterMillis();
        assertEquals(100, first);
        assertEquals(200, second);
    }

    @Test
    void followsALimitThatIsLowered() {
        deal("a", 0, 0, 10 * SECOND);
        RateLimit lower = new RateLimit(1, 2);
        Deal deal = account.deal("a", new Demand(0, 0, 100, 100), lower, 1, 10 * SECOND);
        assertTrue(deal.granted() <= 2, "granted " + deal.granted());
    }

    private Deal deal(String node, int held, int needed, long now) {
        return account.deal(node, new Demand(held, 0, needed, needed), LIMIT, 1, now);
    }
}
