package org.verbenadyke.bench.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.verbenadyke.kernel.config.Configuration;
import org.verbenadyke.kernel.core.CoreSettings;
import org.verbenadyke.kernel.engine.Policy;
import org.verbenadyke.kernel.routing.Location;

/**
 * A chain of services that each fail a share of their calls.
 */
final class DeepChain {
    private static final List<Location> LOCATIONS = List.of(new Location("r", "dc-1"), new Location("r", "dc-2"));
    private static final int REQUESTS_PER_SECOND = 60;
    private static final long LENGTH_NANOS = 10 * Lab.SECOND;
    private static final long TTL_NANOS = 4 * Lab.SECOND;

    private DeepChain() {}

    /** Runs a chain of the given depth; {@code runsPerRequestByDepth} lists the figures from the first service on. */
    static Map<String, Object> run(int depth, double failShare, Policy policy, boolean naive, long seed) {
        Lab lab = Lab.create(seed, CoreSettings.with(policy), naive);
        for (int i = 1; i <= depth; i++) {
            Operation step = i == depth ? Operation.of("step") : Operation.of("step", name(i + 1) + "/step");
            lab.add(ServiceSpec.of(name(i), 2, 60, 2, step), LOCATIONS);
        }
        lab.startAll();
        lab.advance(3 * Lab.SECOND);
        lab.servers().forEach(s -> s.upstream().failShare(failShare));
        LabCaller caller = new LabCaller(lab);
        LabRequest kind = new LabRequest("step", name(1) + "/step", false, 1, false);
        Map<String, LabAnswer> answers = new HashMap<>();
        int requests = (int) (REQUESTS_PER_SECOND * LENGTH_NANOS / Lab.SECOND);
        for (int i = 0; i < requests; i++) {
            String id = "r" + i;
            LabServer entry =
                    lab.servers().get(lab.random().nextInt(lab.servers().size()));
            caller.send(kind, id, "", TTL_NANOS, entry, a -> answers.put(id, a));
            lab.advance(Lab.SECOND / REQUESTS_PER_SECOND);
        }
        lab.advance(2 * TTL_NANOS);
        return figures(lab, depth, answers, requests);
    }

    private static Map<String, Object> figures(Lab lab, int depth, Map<String, LabAnswer> answers, int requests) {
        long whole = answers.values().stream()
                .filter(LabAnswer.Whole.class::isInstance)
                .count();
        List<Double> meanRuns = new ArrayList<>();
        int maxRuns = 0;
        for (int i = 1; i <= depth; i++) {
            Map<String, Integer> runs = lab.effects().runs(name(i));
            long totalRuns =
                    runs.values().stream().mapToLong(Integer::longValue).sum();
            meanRuns.add(Math.round(100.0 * totalRuns / requests) / 100.0);
            maxRuns = Math.max(
                    maxRuns,
                    runs.values().stream().mapToInt(Integer::intValue).max().orElse(0));
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("success", (double) whole / requests);
        figures.put("runsPerRequestByDepth", meanRuns);
        figures.put("mostRunsOfOneRequest", maxRuns);
        figures.put("bound", 1 + Configuration.initial().retries());
        return figures;
    }

    private static String name(int i) {
        return "s" + i;
    }
}
