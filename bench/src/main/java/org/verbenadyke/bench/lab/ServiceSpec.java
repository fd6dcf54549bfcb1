package org.verbenadyke.bench.lab;

import java.util.Map;
import java.util.TreeMap;

/**
 * An emulated service.
 *
 * @param name its name
 * @param servers how many servers it has
 * @param slots how many calls a server runs at the same time
 * @param serviceMillis the mean time that a call takes without its nested calls, in milliseconds
 * @param operations the operations it provides, by name
 */
record ServiceSpec(String name, int servers, int slots, double serviceMillis, Map<String, Operation> operations) {
    static ServiceSpec of(String name, int servers, int slots, double serviceMillis, Operation... operations) {
        Map<String, Operation> byName = new TreeMap<>();
        for (Operation o : operations) {
            byName.put(o.name(), o);
        }
        return new ServiceSpec(name, servers, slots, serviceMillis, byName);
    }
}
