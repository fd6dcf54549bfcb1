package org.verbenadyke.bench.lab;

import java.util.List;

/**
 * What a service does for one kind of call.
 *
 * @param name the first segment of the path
 * @param once whether it has an effect that must happen at most once
 * @param calls the operations it calls one after the other, as SERVICE/OPERATION
 * @param parallel whether it calls them at the same time instead
 * @param bytes how large its answer is, 0 for a short text
 */
record Operation(String name, boolean once, List<String> calls, boolean parallel, int bytes) {
    static Operation of(String name, String... calls) {
        return new Operation(name, false, List.of(calls), false, 0);
    }

    static Operation once(String name, String... calls) {
        return new Operation(name, true, List.of(calls), false, 0);
    }
}
