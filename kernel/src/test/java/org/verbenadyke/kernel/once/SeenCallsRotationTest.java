package org.verbenadyke.kernel.once;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import org.verbenadyke.kernel.call.CallId;

import static org.junit.jupiter.api.Assertions.assertFalse;

/** Tests {@link SeenCalls} while a generation begins. */
public class SeenCallsRotationTest {
    private static final CallId ID = new CallId(1, 1);

    private final SeenCalls shared = SeenCalls.startingAt(0);

    @Operation
    public boolean claim() {
        return shared.claim(ID);
    }

    @Operation(nonParallelGroup = "sweep")
    public void rotate() {
        shared.rotate(() -> 0);
    }

    /** A call that arrives and a question about it, on two threads, while the sweep runs on a third. */
    @Test
    public void exactlyOneClaimSucceedsWhileAGenerationBegins() {
        new ModelCheckingOptions()
                .iterations(30)
                .invocationsPerIteration(1_000)
                .threads(3)
                .actorsPerThread(1)
                .actorsBefore(0)
                .actorsAfter(0)
                .check(SeenCallsRotationTest.class);
    }

    /** An id arrives at 101, right before the generation that begins takes ids; the clock is read after that. */
    @Test
    public void reachesBackNoFurtherThanTheFirstIdOfTheGeneration() {
        SeenCalls seen = SeenCalls.startingAt(0);
        seen.claim(ID);
        seen.rotate(() -> 102);
        seen.rotate(() -> 200);
        assertFalse(seen.claim(ID) && seen.coversSince(101));
    }
}
