package org.verbenadyke.kernel.time;

/**
 * A task waiting for its time.
 */
@FunctionalInterface
public interface Subscription {
    /** Cancels the task; a task already running is not interrupted. */
    void cancel();
}
