package org.verbenadyke.bench.lab;

import java.util.List;

/**
 * What a service does for one kind of call.
 *
 * @param name the first segment of the path
 * @param once whether it has an effect that must happen at most once for each request
 * @param calls the nested operations that it calls in order, as SERVICE/OPERATION
 * @param parallel whether the nested calls run at the same time
 * @param bytes the size of its answer, 0 for a short text
 */
record Operation(String name, boolean once, List<String> calls, boolean parallel, int bytes) {
    static Operation of(String name, String... calls) {
        return new Operation(name, false, List.of(calls), false, 0);
    }

    static Operation once(String name, String... calls) {
        return new Operation(name, true, List.of(calls), false, 0);
    }
}
