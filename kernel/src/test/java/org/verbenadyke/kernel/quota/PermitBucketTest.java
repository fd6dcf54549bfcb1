package org.verbenadyke.kernel.quota;

import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.team.RateLimit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link PermitBucket}. */
final class PermitBucketTest {
    private static final long SECOND = 1_000_000_000L;
    private static final RateLimit LIMIT = new RateLimit(10, 20);

    private final PermitBucket bucket = new PermitBucket(QuotaSettings.with(QuotaTolerance.none()), 0);

    @Test
    void beginsEmptyAndFillsAtTheRateUpToTheBurst() {
        assertEquals(0, allocate("a", 0, 100, 0).granted());
        assertEquals(10, allocate("a", 0, 100, SECOND).granted());
        assertEquals(20, allocate("a", 0, 100, 100 * SECOND).granted());
    }

    @Test
    void countsLeasedPermitsAsPartOfTheBurst() {
        assertEquals(20, allocate("a", 0, 20, 10 * SECOND).granted());
        assertEquals(0, allocate("b", 0, 20, 10 * SECOND).granted());
        assertEquals(0, allocate("b", 0, 20, 11 * SECOND).granted());
        assertEquals(20, allocate("b", 0, 20, 15 * SECOND).granted());
    }

    @Test
    void acceptsUnusedPermitsBack() {
        allocate("a", 0, 20, 10 * SECOND);
        Demand returned = new Demand(0, 15, 0, 0);
        bucket.allocate("a", returned, LIMIT, 1, 10 * SECOND);
        assertEquals(15, allocate("b", 0, 20, 10 * SECOND).granted());
    }

    @Test
    void allocatesOnlyItsShareOfTheLimit() {
        Allocation allocation = bucket.allocate("a", new Demand(0, 0, 100, 100), LIMIT, 0.5, 100 * SECOND);
        assertEquals(10, allocation.granted());
    }

    @Test
    void leavesPermitsForOthersWhenFewRequestsWait() {
        Allocation prefetched = bucket.allocate("a", new Demand(0, 0, 1, 100), LIMIT, 1, 10 * SECOND);
        assertEquals(5, prefetched.granted());
        assertEquals(0, prefetched.availableAfterMillis());
    }

    @Test
    void spreadsRetriesOfRefusedRequests() {
        long first = allocate("a", 0, 1, 0).availableAfterMillis();
        long second = allocate("b", 0, 1, 0).availableAfterMillis();
        assertEquals(100, first);
        assertEquals(200, second);
    }

    @Test
    void appliesALoweredLimit() {
        allocate("a", 0, 0, 10 * SECOND);
        RateLimit lower = new RateLimit(1, 2);
        Allocation allocation = bucket.allocate("a", new Demand(0, 0, 100, 100), lower, 1, 10 * SECOND);
        assertTrue(allocation.granted() <= 2, "granted " + allocation.granted());
    }

    private Allocation allocate(String node, int leased, int needed, long now) {
        return bucket.allocate(node, new Demand(leased, 0, needed, needed), LIMIT, 1, now);
    }
}
