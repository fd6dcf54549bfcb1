package org.verbenadyke.kernel.body;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link BodyBudget}. */
public class BodyBudgetTest {
    private static final long LIMIT = 10;
    private static final long SEED = 20261203;
    private static final int STEPS = 20_000;

    private final BodyBudget budget = BodyBudget.of(LIMIT);
    private final BodyReservation first = budget.reserve(6, () -> {});
    private final List<String> granted = new ArrayList<>();

    /** Releases a shared reservation; a second release would free bytes that others hold. */
    @Operation
    public void releaseFirst() {
        first.release();
    }

    /** Withdraws a shared reservation, which has an effect only while it waits. */
    @Operation
    public boolean withdrawFirst() {
        return first.withdraw();
    }

    /** Reserves without waiting. */
    @Operation
    public boolean tryReserve() {
        return budget.tryReserve(4).isPresent();
    }

    /** Reserves, waiting if needed. */
    @Operation
    public void reserve() {
        budget.reserve(5, () -> {});
    }

    /** Reads the bytes held. */
    @Operation
    public long held() {
        return budget.heldBytes();
    }

    @Test
    public void grantsInOrderOfArrivalAndLetsNoneOvertake() {
        reserve("large", 8);
        reserve("small", 1);
        assertFalse(budget.tryReserve(1).isPresent());
        first.release();
        assertEquals(List.of("large", "small"), granted);
        assertEquals(9, budget.heldBytes());
    }

    @Test
    public void releasesOnce() {
        reserve("a", 4);
        BodyReservation waiting = reserve("b", 10);
        first.release();
        first.release();
        assertFalse(waiting.granted());
        assertEquals(4, budget.heldBytes());
    }

    /** A caller that leaves while it waits at the head must not block the ones behind it. */
    @Test
    public void aWithdrawnReservationMakesWayForThoseBehindIt() {
        BodyReservation head = reserve("head", 10);
        reserve("next", 2);
        assertTrue(head.withdraw());
        assertFalse(head.withdraw());
        head.release();
        assertEquals(List.of("next"), granted);
        assertEquals(8, budget.heldBytes());
        assertFalse(first.withdraw());
        assertEquals(8, budget.heldBytes());
    }

    @Test
    public void returnsTheBytesThatABodyTurnsOutNotToNeed() {
        reserve("a", 7);
        first.shrinkTo(4);
        assertEquals(List.of(), granted);
        first.shrinkTo(3);
        first.shrinkTo(6);
        assertEquals(10, budget.heldBytes());
        first.release();
        first.shrinkTo(1);
        assertEquals(7, budget.heldBytes());
    }

    @Test
    public void rejectsAReservationThatWouldWaitForever() {
        assertThrows(IllegalArgumentException.class, () -> budget.reserve(LIMIT + 1, () -> {}));
        assertEquals(0, budget.waiting());
    }

    /** Releases, withdrawals and grants in random order must neither lose nor create bytes. */
    @Test
    public void holdsTheLimitWithManyAtOnce() {
        SplittableRandom random = new SplittableRandom(SEED);
        List<BodyReservation> open = new ArrayList<>(List.of(first));
        for (int i = 0; i < STEPS; i++) {
            if (random.nextInt(3) > 0 || open.isEmpty()) {
                open.add(budget.reserve(1 + random.nextLong(LIMIT), () -> {}));
            } else {
                open.remove(random.nextInt(open.size())).release();
            }
            long held = open.stream()
                    .filter(BodyReservation::granted)
                    .mapToLong(BodyReservation::bytes)
                    .sum();
            assertEquals(held, budget.heldBytes());
            assertTrue(held <= LIMIT);
            open.removeIf(r -> random.nextInt(50) == 0 && r.withdraw());
        }
        open.forEach(BodyReservation::release);
        assertEquals(0, budget.heldBytes());
        assertEquals(0, budget.waiting());
    }

    @Test
    public void staysExactUnderConcurrentUse() {
        new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(1000)
                .threads(3)
                .actorsPerThread(2)
                .check(BodyBudgetTest.class);
    }

    private BodyReservation reserve(String name, long bytes) {
        return budget.reserve(bytes, () -> granted.add(name));
    }
}
