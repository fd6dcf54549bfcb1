package org.verbenadyke.node.transport;

import java.util.concurrent.locks.LockSupport;

import org.verbenadyke.kernel.time.EventLoopPacing;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * Lets an event loop rest between two turns as {@link EventLoopPacing} says. A loop with tasks at hand runs them first.
 */
final class PacedSelect implements SelectStrategy {
    private final SelectStrategy select = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
    private final EventLoopPacing pacing = EventLoopPacing.quiet();

    private PacedSelect() {}

    static PacedSelect create() {
        return new PacedSelect();
    }

    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        long rest = pacing.iterationEnded(System.nanoTime());
        if (rest > 0 && !hasTasks) {
            LockSupport.parkNanos(rest);
        }
        return select.calculateStrategy(selectNow, hasTasks);
    }
}
