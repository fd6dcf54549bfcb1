package org.verbenadyke.kernel.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses one of several fit candidates.
 */
@FunctionalInterface
public interface Chooser {
    /**
     * Chooses.
     *
     * @param fit the candidates
     * @param random where randomness comes from
     * @return the choice, empty only when there are no candidates
     */
    Optional<Candidate> choose(List<Candidate> fit, RandomGenerator random);
}
