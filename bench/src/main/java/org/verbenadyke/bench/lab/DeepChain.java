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
    private static final List<Location> PLACES = List.of(new Location("r", "dc-1"), new Location("r", "dc-2"));
    private static final int RATE = 60;
    private static final long LENGTH = 10 * Lab.SECOND;
    private static final long TTL = 4 * Lab.SECOND;

    private DeepChain() {}

    /** Runs a chain so many services deep; the figures are named after the depth of the service. */
    static Map<String, Object> run(int depth, double failShare, Policy policy, boolean naive, long seed) {
        Lab lab = Lab.create(seed, CoreSettings.with(policy), naive);
        for (int i = 1; i <= depth; i++) {
            Operation step = i == depth ? Operation.of("step") : Operation.of("step", name(i + 1) + "/step");
            lab.add(ServiceSpec.of(name(i), 2, 60, 2, step), PLACES);
        }
        lab.startAll();
        lab.advance(3 * Lab.SECOND);
        lab.servers().forEach(s -> s.upstream().failShare(failShare));
        LabCaller caller = new LabCaller(lab);
        LabRequest kind = new LabRequest("step", name(1) + "/step", false, 1, false);
        Map<String, LabAnswer> answers = new HashMap<>();
        int n = (int) (RATE * LENGTH / Lab.SECOND);
        for (int i = 0; i < n; i++) {
            String id = "r" + i;
            LabServer entry =
                    lab.servers().get(lab.random().nextInt(lab.servers().size()));
            caller.send(kind, id, "", TTL, entry, a -> answers.put(id, a));
            lab.advance(Lab.SECOND / RATE);
        }
        lab.advance(2 * TTL);
        return figures(lab, depth, answers, n);
    }

    private static Map<String, Object> figures(Lab lab, int depth, Map<String, LabAnswer> answers, int n) {
        long whole = answers.values().stream()
                .filter(LabAnswer.Whole.class::isInstance)
                .count();
        List<Double> mean = new ArrayList<>();
        int most = 0;
        for (int i = 1; i <= depth; i++) {
            Map<String, Integer> runs = lab.effects().runs(name(i));
            long all = runs.values().stream().mapToLong(Integer::longValue).sum();
            mean.add(Math.round(100.0 * all / n) / 100.0);
            most = Math.max(
                    most,
                    runs.values().stream().mapToInt(Integer::intValue).max().orElse(0));
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("success", (double) whole / n);
        figures.put("runsPerRequestByDepth", mean);
        figures.put("mostRunsOfOneRequest", most);
        figures.put("bound", 1 + Configuration.initial().retries());
        return figures;
    }

    private static String name(int i) {
        return "s" + i;
    }
}
