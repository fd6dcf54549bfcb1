package org.verbenadyke.bench.lab;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * Checks that no service ran one request more often than the number of call paths to it and the retry budget allow.
 */
final class RunCountCheck {
    private final Lab lab;
    private final Map<String, Map<String, Integer>> pathCounts = new HashMap<>();

    RunCountCheck(Lab lab) {
        this.lab = lab;
    }

    void check(ToIntFunction<String> attempts, Function<String, LabRequest> kindOf, List<String> violations) {
        lab.effects()
                .runsByService()
                .forEach((service, runs) -> runs.forEach((id, n) -> {
                    int runsPerAttempt = pathCounts(kindOf.apply(id).target()).getOrDefault(service, 0);
                    int max = attempts.applyAsInt(id) * runsPerAttempt * (1 + SoakWorkload.MAX_RETRIES);
                    if (n > max) {
                        violations.add(
                                service + " ran " + n + " times for " + id + ", at most " + max + " are allowed");
                    }
                }));
    }

    /** Counts by how many call paths one attempt of an operation reaches each service. */
    private Map<String, Integer> pathCounts(String target) {
        Map<String, Integer> cached = pathCounts.get(target);
        if (cached != null) {
            return cached;
        }
        Map<String, Integer> counts = new HashMap<>();
        String service = target.substring(0, target.indexOf('/'));
        counts.merge(service, 1, Integer::sum);
        Operation operation =
                lab.servers(service).getFirst().spec().operations().get(target.substring(target.indexOf('/') + 1));
        for (String call : operation.calls()) {
            pathCounts(call).forEach((s, n) -> counts.merge(s, n, Integer::sum));
        }
        pathCounts.put(target, counts);
        return counts;
    }
}
