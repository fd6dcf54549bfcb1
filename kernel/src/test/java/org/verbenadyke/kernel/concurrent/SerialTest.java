package org.verbenadyke.kernel.concurrent;

import java.util.ArrayList;
import java.util.List;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests {@link SerialExecutor}. */
public class SerialTest {
    private final SerialExecutor serial = SerialExecutor.create();
    private int plain;

    /** Adds through the runner; two adds at once would lose one. */
    @Operation
    public void add() {
        serial.run(() -> plain = plain + 1);
    }

    @Test
    public void runsNestedTasksAfterTheCurrentOne() {
        SerialExecutor s = SerialExecutor.create();
        List<Integer> order = new ArrayList<>();
        s.run(() -> {
            s.run(() -> order.add(2));
            order.add(1);
        });
        assertEquals(List.of(1, 2), order);
    }

    @Test
    public void neverRunsTwoTasksAtOnce() {
        new ModelCheckingOptions()
                .iterations(10)
                .invocationsPerIteration(1000)
                .threads(3)
                .actorsPerThread(2)
                .check(SerialTest.class);
    }
}
