package org.verbenadyke.kernel.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses an upstream among the candidates that may take a call.
 */
@FunctionalInterface
public interface Chooser {
    /**
     * Chooses a candidate.
     *
     * @param fit the candidates
     * @param random the source of randomness
     * @return the chosen candidate, empty only when there are no candidates
     */
    Optional<Candidate> choose(List<Candidate> fit, RandomGenerator random);

    /**
     * Chooses a candidate for a given call. By default all calls are placed alike.
     *
     * @param fit the candidates
     * @param query the call
     * @param nowNanos the time
     * @param random the source of randomness
     * @return the chosen candidate, empty only when there are no candidates
     */
    default Optional<Candidate> choose(List<Candidate> fit, RouteQuery query, long nowNanos, RandomGenerator random) {
        return choose(fit, random);
    }
}
