package org.verbenadyke.bench.lab;

import java.util.LinkedHashMap;
import java.util.Map;

import org.verbenadyke.kernel.engine.Policy;

/**
 * The measurements on the virtual clock, each for ours and for the baseline with the same seed.
 */
public final class Scenarios {
    private Scenarios() {}

    /**
     * Measures a surge.
     *
     * @param workload heatwell or marrowgate
     * @param seed makes the run the same each time
     * @return the figures by name
     */
    public static Map<String, Object> surge(String workload, long seed) {
        SurgeSpec spec = workload.equals("marrowgate") ? Surges.marrowgate() : Surges.heatwell();
        Map<String, Object> figures = new LinkedHashMap<>();
        put(figures, "ours", Surge.run(spec, Policy.standard(), seed, false));
        put(figures, "baseline", Surge.run(spec, Policy.baseline(), seed, true));
        return figures;
    }

    private static void put(Map<String, Object> figures, String who, SurgeReport r) {
        figures.put(who + ".goodputPerSecond", r.goodput());
        figures.put(who + ".goodputShareOfCapacity", r.goodputShare());
        figures.put(who + ".importantServed", r.importantServed());
        figures.put(who + ".wastedShare", r.wastedShare());
        figures.put(who + ".attemptsPerRequestDeepest", r.attemptsPerRequest());
        figures.put(who + ".recoverySeconds", r.recoverySeconds());
        figures.put(who + ".sends", r.sends());
        figures.put(who + ".answers", r.answers());
    }
}
