package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the work that emulated upstreams did, like a database shared by all of them.
 */
final class Effects {
    private final Map<String, List<String>> effectsById = new HashMap<>();
    private final Map<String, List<String>> startsById = new HashMap<>();
    private final Map<String, Map<String, Integer>> runs = new HashMap<>();

    /** Records an effect that must happen at most once for each request. */
    void recordEffect(String id, String where) {
        effectsById.computeIfAbsent(id, i -> new ArrayList<>()).add(where);
    }

    /** Records that an upstream started an operation that must run at most once. */
    void recordStart(String id, String where) {
        startsById.computeIfAbsent(id, i -> new ArrayList<>()).add(where);
    }

    /** Returns where and when upstreams started an operation that must run at most once. */
    List<String> starts(String id) {
        return startsById.getOrDefault(id, List.of());
    }

    /** Records that a service started to work on a request. */
    void recordRun(String service, String id) {
        runs.computeIfAbsent(service, s -> new HashMap<>()).merge(id, 1, Integer::sum);
    }

    int effectCount(String id) {
        return occurrences(id).size();
    }

    /** Returns where and when the effect happened. */
    List<String> occurrences(String id) {
        return effectsById.getOrDefault(id, List.of());
    }

    Map<String, Integer> runs(String service) {
        return runs.getOrDefault(service, Map.of());
    }

    Map<String, Map<String, Integer>> runsByService() {
        return runs;
    }
}
