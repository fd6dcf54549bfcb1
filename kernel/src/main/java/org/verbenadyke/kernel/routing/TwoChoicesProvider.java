package org.verbenadyke.kernel.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Provides the chooser {@code two-choices}, the power of two choices: draws two candidates at random and chooses the
 * less loaded one.
 */
public final class TwoChoicesProvider implements ChooserProvider {
    @Override
    public String name() {
        return "two-choices";
    }

    @Override
    public Chooser create() {
        return TwoChoicesProvider::choose;
    }

    private static Optional<Candidate> choose(List<Candidate> fit, RandomGenerator random) {
        if (fit.isEmpty()) {
            return Optional.empty();
        }
        int n = fit.size();
        if (n == 1) {
            return Optional.of(fit.get(0));
        }
        int i = random.nextInt(n);
        int j = (i + 1 + random.nextInt(n - 1)) % n;
        Candidate a = fit.get(i);
        Candidate b = fit.get(j);
        return Optional.of(a.score() <= b.score() ? a : b);
    }
}
