package org.verbenadyke.bench.lab;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.verbenadyke.kernel.engine.Policy;

/**
 * The measurements on the virtual clock. Those that compare with the baseline run both with the same seed.
 */
public final class Scenarios {
    private static final int[] DEPTHS = {3, 5, 19};
    private static final double[] FAIL_SHARES = {0.01, 0.1};
    private static final int PERCENT = 100;
    private static final int KILL_SECONDS = 90;
    private static final int KILL_RATE = 100;
    private static final int[] NODE_COUNTS = {8, 32, 96};

    private Scenarios() {}

    /**
     * Measures a surge.
     *
     * @param workload heatwell or marrowgate
     * @param seed the random seed; the same seed repeats the run
     * @return the figures by name
     */
    public static Map<String, Object> surge(String workload, long seed) {
        SurgeSpec spec = workload.equals("marrowgate") ? Surges.marrowgate() : Surges.heatwell();
        Map<String, Object> figures = new LinkedHashMap<>();
        put(figures, "ours", Surge.run(spec, Policy.standard(), seed, false));
        put(figures, "baseline", Surge.run(spec, Policy.baseline(), seed, true));
        return figures;
    }

    /**
     * Measures chains of services that each fail a share of their calls.
     *
     * @param workload ignored
     * @param seed the random seed; the same seed repeats the run
     * @return the figures by name
     */
    public static Map<String, Object> deep(String workload, long seed) {
        Map<String, Object> figures = new LinkedHashMap<>();
        for (int depth : DEPTHS) {
            for (double share : FAIL_SHARES) {
                String name = "depth" + depth + ".fail" + Math.round(share * PERCENT) + "%.";
                figures.put(name + "ours", DeepChain.run(depth, share, Policy.standard(), false, seed));
                figures.put(name + "baseline", DeepChain.run(depth, share, Policy.baseline(), true, seed));
            }
        }
        return figures;
    }

    /**
     * Measures how soon connections that silently stopped carrying data are detected.
     *
     * @param workload ignored
     * @param seed the random seed; the same seed repeats the run
     * @return the figures by name
     */
    public static Map<String, Object> silent(String workload, long seed) {
        return ControlPath.silent(seed);
    }

    /**
     * Measures filings while nodes and upstreams are killed, paused for longer than every timeout, and resumed.
     *
     * @param workload ignored
     * @param seed the random seed; the same seed repeats the run
     * @return the figures by name
     */
    public static Map<String, Object> kill(String workload, long seed) {
        SoakReport report = Soak.run(new SoakSettings(
                seed, KILL_SECONDS, KILL_RATE, Set.of(FaultKind.KILL, FaultKind.PAUSE, FaultKind.KILL_UPSTREAM), 0));
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("requests", report.requests());
        figures.put("faults", report.faultKinds());
        figures.put("answers", report.answers());
        figures.put("violations", report.violations());
        return figures;
    }

    /**
     * Measures for how long a draining upstream still receives calls.
     *
     * @param workload ignored
     * @param seed the random seed; the same seed repeats the run
     * @return the figures by name
     */
    public static Map<String, Object> drain(String workload, long seed) {
        Map<String, Object> figures = new LinkedHashMap<>();
        for (int n : NODE_COUNTS) {
            figures.put(n + " nodes, log up", ControlPath.drain(n, false, seed));
            figures.put(n + " nodes, log down", ControlPath.drain(n, true, seed));
        }
        return figures;
    }

    /**
     * Measures how long a confirmed change takes to be in force everywhere.
     *
     * @param workload ignored
     * @param seed the random seed; the same seed repeats the run
     * @return the figures by name
     */
    public static Map<String, Object> config(String workload, long seed) {
        Map<String, Object> figures = new LinkedHashMap<>();
        for (int n : NODE_COUNTS) {
            figures.put(n + " nodes, log up", ControlPath.config(n, lab -> {}, seed));
            figures.put(
                    n + " nodes, log slow by 1 s",
                    ControlPath.config(n, lab -> lab.log().slow(Lab.SECOND), seed));
            figures.put(
                    n + " nodes, answers lost",
                    ControlPath.config(n, lab -> lab.log().loseAnswers(1), seed));
        }
        return figures;
    }

    /**
     * Measures goodput before, during and after an outage of the log.
     *
     * @param workload ignored
     * @param seed the random seed; the same seed repeats the run
     * @return the figures by name
     */
    public static Map<String, Object> outage(String workload, long seed) {
        return ControlPath.outage(seed);
    }

    /**
     * Measures the control traffic of a node.
     *
     * @param workload ignored
     * @param seed the random seed; the same seed repeats the run
     * @return the figures by name
     */
    public static Map<String, Object> capacity(String workload, long seed) {
        return ControlTraffic.run(seed);
    }

    private static void put(Map<String, Object> figures, String variant, SurgeReport r) {
        figures.put(variant + ".goodputPerSecond", r.goodput());
        figures.put(variant + ".goodputShareOfCapacity", r.goodputShare());
        figures.put(variant + ".importantServed", r.importantServed());
        figures.put(variant + ".wastedShare", r.wastedShare());
        figures.put(variant + ".attemptsPerRequestDeepest", r.attemptsPerRequest());
        figures.put(variant + ".recoverySeconds", r.recoverySeconds());
        figures.put(variant + ".sends", r.sends());
        figures.put(variant + ".answers", r.answers());
    }
}
