package org.verbenadyke.node.time;

import java.util.concurrent.TimeUnit;

import org.verbenadyke.kernel.time.Subscription;
import org.verbenadyke.kernel.time.TimerService;

import io.netty.util.HashedWheelTimer;
import io.netty.util.Timeout;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The timer service of a running node: a hashed timer wheel on one thread serves all subscriptions.
 */
public final class WheelTimerService implements TimerService, AutoCloseable {
    private static final long TICK_MILLIS = 10;
    private static final int SLOTS = 1_024;

    private final HashedWheelTimer wheel;

    private WheelTimerService() {
        wheel = new HashedWheelTimer(
                new DefaultThreadFactory("timer", true), TICK_MILLIS, TimeUnit.MILLISECONDS, SLOTS);
    }

    /**
     * Starts the service.
     *
     * @return the service
     */
    public static WheelTimerService start() {
        return new WheelTimerService();
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Subscription after(long delayNanos, Runnable task) {
        Timeout timeout = wheel.newTimeout(t -> task.run(), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
        return timeout::cancel;
    }

    @Override
    public void close() {
        wheel.stop();
    }
}
