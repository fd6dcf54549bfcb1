package org.verbenadyke.bench.decisions;

import java.util.LinkedHashMap;
import java.util.Map;

import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.VerboseMode;

/**
 * Runs the benchmarks of single decisions.
 */
public final class Decisions {
    private static final String ALLOCATION_METRIC = "gc.alloc.rate.norm";

    private Decisions() {}

    /**
     * Runs all benchmarks.
     *
     * @return nanoseconds and bytes allocated per decision, by name
     * @throws RunnerException when the runner fails
     */
    public static Map<String, Object> run() throws RunnerException {
        Map<String, Object> figures = new LinkedHashMap<>();
        OptionsBuilder options = new OptionsBuilder();
        options.include(DecisionBenchmarks.class.getName())
                .addProfiler(GCProfiler.class)
                .verbosity(VerboseMode.SILENT);
        for (RunResult r : new Runner(options.build()).run()) {
            String name = r.getPrimaryResult().getLabel() + "." + r.getParams().getParam("known");
            figures.put(name + ".ns", Math.round(r.getPrimaryResult().getScore()));
            r.getSecondaryResults().forEach((key, value) -> {
                if (key.contains(ALLOCATION_METRIC)) {
                    figures.put(name + ".bytes", Math.round(value.getScore()));
                }
            });
        }
        return figures;
    }
}
