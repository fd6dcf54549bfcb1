package org.verbenadyke.kernel.budget;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link RootBudget}. */
public class RootBudgetTest {
    private final RootBudget shared = RootBudget.of(2);

    @Operation
    public boolean take() {
        return shared.take();
    }

    @Operation
    public int left() {
        return shared.left();
    }

    @Test
    public void grantsEachRetryOnce() {
        RootBudget budget = RootBudget.of(2);
        assertTrue(budget.take());
        assertTrue(budget.take());
        assertFalse(budget.take());
        assertEquals(0, budget.left());
    }

    @Test
    public void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(3)
                .check(RootBudgetTest.class);
    }
}
