package org.verbenadyke.kernel.budget;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests {@link RatioBudget}. */
public class RatioBudgetTest {
    private final RatioBudget shared = RatioBudget.of(0.5, 1);

    @Operation
    public boolean take() {
        return shared.take();
    }

    @Operation
    public void succeeded() {
        shared.succeeded();
    }

    @Test
    public void allowsRetriesInProportionToSuccesses() {
        RatioBudget budget = RatioBudget.of(0.1, 1);
        assertTrue(budget.take());
        for (int i = 0; i < 9; i++) {
            budget.succeeded();
        }
        assertFalse(budget.take());
        budget.succeeded();
        assertTrue(budget.take());
    }

    @Test
    public void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(20)
                .invocationsPerIteration(500)
                .threads(3)
                .actorsPerThread(2)
                .check(RatioBudgetTest.class);
    }
}
