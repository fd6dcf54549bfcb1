package org.verbenadyke.bench.lab;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * Checks that no service worked on one request more often than its calls and the budget of its chain allow.
 */
final class RunBound {
    private final Lab lab;
    private final Map<String, Map<String, Integer>> paths = new HashMap<>();

    RunBound(Lab lab) {
        this.lab = lab;
    }

    void check(ToIntFunction<String> sends, Function<String, LabRequest> kindOf, List<String> violations) {
        lab.effects()
                .all()
                .forEach((service, runs) -> runs.forEach((id, n) -> {
                    int perTry = paths(kindOf.apply(id).target()).getOrDefault(service, 0);
                    int most = sends.applyAsInt(id) * perTry * (1 + SoakWorld.RETRIES_MOST);
                    if (n > most) {
                        violations.add(
                                service + " worked " + n + " times on " + id + ", at most " + most + " are allowed");
                    }
                }));
    }

    /** Counts by how many ways one try of an operation reaches each service. */
    private Map<String, Integer> paths(String target) {
        Map<String, Integer> known = paths.get(target);
        if (known != null) {
            return known;
        }
        Map<String, Integer> counts = new HashMap<>();
        String service = target.substring(0, target.indexOf('/'));
        counts.merge(service, 1, Integer::sum);
        Operation operation =
                lab.servers(service).getFirst().spec().operations().get(target.substring(target.indexOf('/') + 1));
        for (String call : operation.calls()) {
            paths(call).forEach((s, n) -> counts.merge(s, n, Integer::sum));
        }
        paths.put(target, counts);
        return counts;
    }
}
