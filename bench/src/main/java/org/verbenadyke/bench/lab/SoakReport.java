package org.verbenadyke.bench.lab;

import java.util.List;
import java.util.Map;

/**
 * The result of a randomised run.
 *
 * @param seed the run's seed
 * @param requests how many requests were sent
 * @param faults how many faults were injected
 * @param answers how many answers of each kind callers got
 * @param faultKinds how many faults of each kind there were
 * @param trace each fault with its time and length in milliseconds
 * @param violations a description of each violated invariant
 * @param digest a checksum of all answers with their times; the same for the same seed and program
 */
public record SoakReport(
        long seed,
        long requests,
        long faults,
        Map<String, Integer> answers,
        Map<String, Integer> faultKinds,
        List<String> trace,
        List<String> violations,
        long digest) {
    /**
     * Formats the result.
     *
     * @return one line
     */
    public String summary() {
        return "soak: seed " + seed + ", " + requests + " requests, " + faults + " faults, " + violations.size()
                + " violations";
    }
}
