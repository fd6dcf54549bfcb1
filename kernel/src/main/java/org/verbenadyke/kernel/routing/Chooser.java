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
}
