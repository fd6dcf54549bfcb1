package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the upstreams of the lab did: the database behind them, seen from outside.
 */
final class Effects {
    private final Map<String, List<String>> runsOnce = new HashMap<>();
    private final Map<String, List<String>> startsOnce = new HashMap<>();
    private final Map<String, Map<String, Integer>> runs = new HashMap<>();

    /** Notes the one effect of an operation that must have it at most once. */
    void effect(String id, String where) {
        runsOnce.computeIfAbsent(id, i -> new ArrayList<>()).add(where);
    }

    /** Notes that an upstream began to work on an operation that must run at most once. */
    void started(String id, String where) {
        startsOnce.computeIfAbsent(id, i -> new ArrayList<>()).add(where);
    }

    /** Returns where and when upstreams began to work on an operation that must run at most once. */
    List<String> starts(String id) {
        return startsOnce.getOrDefault(id, List.of());
    }

    /** Notes that a service began to work on a request. */
    void run(String service, String id) {
        runs.computeIfAbsent(service, s -> new HashMap<>()).merge(id, 1, Integer::sum);
    }

    int effects(String id) {
        return places(id).size();
    }

    /** Returns where and when the effect happened. */
    List<String> places(String id) {
        return runsOnce.getOrDefault(id, List.of());
    }

    Map<String, Integer> runs(String service) {
        return runs.getOrDefault(service, Map.of());
    }

    Map<String, Map<String, Integer>> all() {
        return runs;
    }
}
