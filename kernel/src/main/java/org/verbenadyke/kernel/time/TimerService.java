package org.verbenadyke.kernel.time;

/**
 * The only source of time and timers. Components schedule their tasks here and never start threads.
 */
public interface TimerService {
    /**
     * Reads the monotonic clock.
     *
     * @return nanoseconds since an arbitrary origin, never going back
     */
    long nanos();

    /**
     * Reads the wall clock, which may jump; used for identifiers and reports only.
     *
     * @return milliseconds since the epoch
     */
    long wallMillis();

    /**
     * Runs a task once.
     *
     * @param delayNanos the delay in nanoseconds; zero or less means as soon as possible
     * @param task the task; it must not block
     * @return the subscription, to cancel it
     */
    Subscription after(long delayNanos, Runnable task);

    /**
     * Runs a task repeatedly.
     *
     * @param periodNanos the delay between two runs in nanoseconds
     * @param task the task; it must not block
     * @return the subscription, to cancel it
     */
    default Subscription every(long periodNanos, Runnable task) {
        return PeriodicTask.start(this, periodNanos, task);
    }
}
