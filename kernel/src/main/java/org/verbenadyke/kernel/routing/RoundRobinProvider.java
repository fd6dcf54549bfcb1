package org.verbenadyke.kernel.routing;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Provides the chooser {@code round-robin}, which ignores load and serves as the baseline.
 */
public final class RoundRobinProvider implements ChooserProvider {
    @Override
    public String name() {
        return "round-robin";
    }

    @Override
    public Chooser create() {
        AtomicInteger next = new AtomicInteger();
        return (fit, random) -> fit.isEmpty()
                ? Optional.empty()
                : Optional.of(fit.get(Math.floorMod(next.getAndIncrement(), fit.size())));
    }
}
