package org.verbenadyke.bench.lab;

import java.util.Map;
import java.util.TreeMap;

/**
 * A service of the lab.
 *
 * @param name its name
 * @param servers how many servers it has
 * @param slots how many calls a server works on at a time
 * @param serviceMillis the mean time a call takes, without the calls below, in milliseconds
 * @param operations what it can be asked for, by name
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
