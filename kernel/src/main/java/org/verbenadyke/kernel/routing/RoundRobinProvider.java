package org.verbenadyke.kernel.routing;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Registers taking turns as {@code round-robin}; it looks at no load and serves as the baseline.
 */
public final class RoundRobinProvider implements ChooserProvider {
    @Override
    public String name() {
        return "round-robin";
    }

    @Override
    public Chooser create() {
        AtomicInteger turn = new AtomicInteger();
        return (fit, random) -> fit.isEmpty()
                ? Optional.empty()
                : Optional.of(fit.get(Math.floorMod(turn.getAndIncrement(), fit.size())));
    }
}
