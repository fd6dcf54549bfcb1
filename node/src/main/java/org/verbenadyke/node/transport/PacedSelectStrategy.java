package org.verbenadyke.node.transport;

import java.util.concurrent.locks.LockSupport;

import org.verbenadyke.kernel.time.EventLoopPacing;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * Lets an event loop rest between two iterations, for as long as {@link EventLoopPacing} returns. A loop with pending
 * tasks doesn't rest but runs them first.
 */
final class PacedSelectStrategy implements SelectStrategy {
    private final SelectStrategy select = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
    private final EventLoopPacing pacing = EventLoopPacing.quiet();

    private PacedSelectStrategy() {}

    static PacedSelectStrategy create() {
        return new PacedSelectStrategy();
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
